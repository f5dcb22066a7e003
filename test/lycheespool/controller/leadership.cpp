#include "lycheespool/controller/leadership.h"

#include "lycheespool/store/fake_row_store.h"

#include <doctest/doctest.h>

using namespace lycheespool;

namespace {

struct Candidate {
    Candidate(FakeRows& rows, const std::string& name)
        : store { rows }
        , leadership { store, RowNames {}, LeaseRow { name, 1, "10.0.0.1:7000", 0 } }
    {
    }

    LeadershipChange step() { return await(leadership.step()); }

    FakeRowStore store;
    Leadership<FakeRowStore> leadership;
};

Awaitable<bool> done(Awaitable<> operation)
{
    co_await std::move(operation);
    co_return true;
}

}

TEST_CASE("one of two candidates leads, and it decides only behind its fence")
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

TEST_CASE("a lease that was given back is taken at once, and the fence stops writes of the former leader")
{
    FakeRows rows;
    Candidate first { rows, "a" };
    Candidate second { rows, "b" };
    (void)first.step();
    (void)await(first.leadership.raiseFence());
    const auto oldFence = first.leadership.fence();
    CHECK(await(done(first.leadership.giveBack())));
    CHECK(second.step() == LeadershipChange::taken);
    CHECK(await(second.leadership.raiseFence()));
    CHECK(second.leadership.epoch() > first.leadership.epoch());
    RowTransaction late { { oldFence }, { { RowNames {}.progress("job"), "old" } } };
    CHECK_FALSE(await(first.store.commit(late, std::chrono::seconds { 1 })).isCommitted);
    CHECK(first.step() == LeadershipChange::none);
}

TEST_CASE("a renewal without an answer is settled by reading the row back")
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

TEST_CASE("a leader whose row names another process stops leading")
{
    FakeRows rows;
    Candidate first { rows, "a" };
    (void)first.step();
    rows.rows[RowNames {}.lease()].value = packValue(LeaseRow { "b", 2, "10.0.0.2:7000", 9 });
    rows.rows[RowNames {}.lease()].version = ++rows.version;
    CHECK(first.step() == LeadershipChange::lost);
    CHECK_FALSE(first.leadership.isHeld(BootClock {}.now()));
}

TEST_CASE("a takeover whose answer was lost leaves no second term with the same number")
{
    FakeRows rows;
    Candidate first { rows, "a" };
    first.store.loseAnswers = 1;
    CHECK(first.step() == LeadershipChange::none);
    CHECK(first.step() == LeadershipChange::taken);
    CHECK(first.leadership.epoch() == Epoch { 2 });
}
