#include "lycheespool/controller/leadership.h"

#include "lycheespool/store/fake_row_store.h"

#include <doctest/doctest.h>

#include <thread>

using namespace lycheespool;

namespace {

/*! @brief A fake probe that returns the state that the test sets. */
struct FakeProbe {
    HolderState state { HolderState::leads };
    unsigned asked { 0 };

    [[nodiscard]] Awaitable<HolderState> ask(LeaseRow)
    {
        ++asked;
        co_return state;
    }
};

static_assert(HolderProbe<FakeProbe>);

using FakeLeadership = Leadership<FakeRowStore, FakeProbe>;

struct Candidate {
    Candidate(FakeRows& rows, const std::string& name, Duration candidacyDelay = {})
        : store { rows }
        , leadership { store, probe, RowNames {}, LeaseRow { name, 1, "10.0.0.1:7000", 0 }, candidacyDelay }
    {
    }

    LeadershipChange step() { return await(leadership.step()); }

    FakeRowStore store;
    FakeProbe probe;
    FakeLeadership leadership;
};

/*! @brief Runs a step of a candidate now and again after a time without a renewal. */
LeadershipChange stepAgainAfter(Candidate& candidate, Duration time)
{
    CHECK(candidate.step() == LeadershipChange::none);
    std::this_thread::sleep_for(time);
    return candidate.step();
}

constexpr auto testMargin = std::chrono::milliseconds { 20 };

Awaitable<bool> done(Awaitable<> operation)
{
    co_await std::move(operation);
    co_return true;
}

}

TEST_CASE("one of two candidates leads, and only after it has raised the fence")
{
    FakeRows rows;
    Candidate first { rows, "a" };
    Candidate second { rows, "b" };
    CHECK(first.step() == LeadershipChange::taken);
    CHECK(second.step() == LeadershipChange::none);
    CHECK_FALSE(first.leadership.isHeld(BootClock {}.now()));
    CHECK(await(first.leadership.raiseFence()));
    CHECK(first.leadership.isHeld(BootClock {}.now()));
}

TEST_CASE("a released lease is taken at once, and the fence rejects writes of the former leader")
{
    FakeRows rows;
    Candidate first { rows, "a" };
    Candidate second { rows, "b" };
    (void)first.step();
    (void)await(first.leadership.raiseFence());
    const auto oldFence = first.leadership.fence();
    CHECK(await(done(first.leadership.release())));
    CHECK(second.step() == LeadershipChange::taken);
    CHECK(await(second.leadership.raiseFence()));
    CHECK(second.leadership.epoch() > first.leadership.epoch());
    RowTransaction late { { oldFence }, { { RowNames {}.progress("job"), "old" } } };
    CHECK_FALSE(await(first.store.commit(late, std::chrono::seconds { 1 })).isCommitted);
    CHECK(first.step() == LeadershipChange::none);
}

TEST_CASE("a renewal without an answer is resolved by reading the lease row")
{
    FakeRows rows;
    Candidate first { rows, "a" };
    (void)first.step();
    first.store.loseAnswers = 1;
    CHECK(first.step() == LeadershipChange::none);
    CHECK(first.step() == LeadershipChange::none);
    CHECK(await(first.leadership.raiseFence()));
    CHECK(first.leadership.isHeld(BootClock {}.now()));
}

TEST_CASE("a leader stops leading when the lease row names another process")
{
    FakeRows rows;
    Candidate first { rows, "a" };
    (void)first.step();
    rows.rows[RowNames {}.lease()].value = packValue(LeaseRow { "b", 2, "10.0.0.2:7000", 9 });
    rows.rows[RowNames {}.lease()].version = ++rows.version;
    CHECK(first.step() == LeadershipChange::lost);
    CHECK_FALSE(first.leadership.isHeld(BootClock {}.now()));
}

TEST_CASE("a takeover whose answer was lost does not share its epoch with a later term")
{
    FakeRows rows;
    Candidate first { rows, "a" };
    first.store.loseAnswers = 1;
    CHECK(first.step() == LeadershipChange::none);
    CHECK(first.step() == LeadershipChange::taken);
    CHECK(first.leadership.epoch() == Epoch { 2 });
}

// Guards against starts and ends that wait 2.2 s for a lease whose holder has certainly ended.
TEST_CASE("a candidate takes over from a holder whose process has ended or has yielded once a renewal is overdue")
{
    for (const auto state : { HolderState::gone, HolderState::yielded }) {
        FakeRows rows;
        Candidate first { rows, "a" };
        Candidate second { rows, "b" };
        (void)first.step();
        second.probe.state = state;
        CHECK(stepAgainAfter(second, FakeLeadership::overdueAfter + testMargin) == LeadershipChange::taken);
        CHECK(second.probe.asked == 1);
    }
}

// Guards against a leader change whenever the store is slow.
TEST_CASE("a candidate leaves the lease to a holder that confirms that it leads, however old the lease row is")
{
    FakeRows rows;
    Candidate first { rows, "a" };
    Candidate second { rows, "b" };
    (void)first.step();
    CHECK(stepAgainAfter(second, FakeLeadership::times.takeoverDelay + testMargin) == LeadershipChange::none);
    CHECK(second.probe.asked == 1);
}

TEST_CASE("a holder that does not answer is given more time than one that has ended")
{
    FakeRows rows;
    Candidate first { rows, "a" };
    Candidate second { rows, "b" };
    (void)first.step();
    second.probe.state = HolderState::silent;
    CHECK(stepAgainAfter(second, FakeLeadership::overdueAfter + testMargin) == LeadershipChange::none);
    std::this_thread::sleep_for(FakeLeadership::silentHolderDelay - FakeLeadership::overdueAfter);
    CHECK(second.step() == LeadershipChange::taken);
}

TEST_CASE("the holder is not asked while its renewal is not overdue")
{
    FakeRows rows;
    Candidate first { rows, "a" };
    Candidate second { rows, "b" };
    (void)first.step();
    second.probe.state = HolderState::gone;
    CHECK(second.step() == LeadershipChange::none);
    CHECK(second.step() == LeadershipChange::none);
    CHECK(second.probe.asked == 0);
}

// Guards against a holder that answers that it does not lead but keeps acting in the same term.
TEST_CASE("a holder that the store rejects yields when it is asked, and leads again only after a renewal")
{
    FakeRows rows;
    Candidate first { rows, "a" };
    (void)first.step();
    (void)await(first.leadership.raiseFence());
    const auto now = BootClock {}.now();
    CHECK(first.leadership.confirm(1, 1, now));
    CHECK_FALSE(first.leadership.confirm(2, 1, now));
    first.store.isRefusing = true;
    CHECK(first.step() == LeadershipChange::none);
    CHECK(first.leadership.isHeld(now));
    CHECK_FALSE(first.leadership.confirm(1, 1, now));
    CHECK_FALSE(first.leadership.isHeld(now));
    CHECK_FALSE(first.leadership.mayGrantPermits(now, std::chrono::seconds { 6 }));
    first.store.isRefusing = false;
    CHECK(first.step() == LeadershipChange::none);
    CHECK(first.leadership.isHeld(BootClock {}.now()));
}

TEST_CASE("a candidate with a candidacy delay takes a free lease only after the delay")
{
    FakeRows rows;
    Candidate small { rows, "a", std::chrono::milliseconds { 100 } };
    CHECK(stepAgainAfter(small, std::chrono::milliseconds { 100 } + testMargin) == LeadershipChange::taken);
}

// Guards against a leader change, which costs 0.3 s without starts, after each outage of the store.
TEST_CASE("a candidate gives the holder time to renew after an outage of the store")
{
    FakeRows rows;
    Candidate first { rows, "a" };
    Candidate second { rows, "b" };
    (void)first.step();
    second.probe.state = HolderState::yielded;
    CHECK(second.step() == LeadershipChange::none);
    second.store.isRefusing = true;
    CHECK(stepAgainAfter(second, FakeLeadership::overdueAfter + testMargin) == LeadershipChange::none);
    second.store.isRefusing = false;
    CHECK(second.step() == LeadershipChange::none);
    CHECK(second.probe.asked == 0);
}
