#include "lycheespool/request/admission.h"
#include "lycheespool/request/manual_timing.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <thread>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

using TestAdmission = Admission<ManualTiming>;

struct Fixture {
    explicit Fixture(AdmissionLimits limits = {})
        : admission { std::make_shared<TestAdmission>([this] { return slots; }, limits, metrics, timing) }
    {
    }

    /*! @brief Requests a slot; the outcome is appended to `started` or `refusals`. */
    void acquire(const std::string& workspace, RequestPriority priority = RequestPriority::normal, Duration time = 10s)
    {
        asio::co_spawn(context, request(workspace, priority, time), asio::detached);
        poll();
    }

    Awaitable<> request(std::string workspace, RequestPriority priority, Duration time)
    {
        auto result = co_await admission->acquire(WorkspaceId { workspace }, priority, timing.now() + time);
        if (result.ticket.isHeld()) {
            started.push_back(workspace + "/" + std::to_string(static_cast<int>(priority)));
            tickets.push_back(std::move(result.ticket));
        } else {
            refusals.push_back({ std::move(result.refusal), timing.now() });
        }
    }

    void poll()
    {
        context.restart();
        context.poll();
    }

    /*! @brief Releases the slot that has been held longest. */
    void release()
    {
        tickets.erase(tickets.begin());
        poll();
    }

    void advance(Duration length)
    {
        const auto end = timing.now() + length;
        while (timing.now() < end && timing.advanceToNext())
            poll();
    }

    std::uint32_t slots { 1 };
    Metrics metrics;
    ManualTiming timing;
    asio::io_context context;
    std::shared_ptr<TestAdmission> admission;
    std::vector<TestAdmission::Ticket> tickets;
    std::vector<std::string> started;
    std::vector<std::pair<ClientAnswer, TimePoint>> refusals;
};

}

// Guards against a workspace that starves others by sending more requests, and against priorities that act across
// workspaces.
TEST_CASE("workspaces are served round robin, and priority counts within a workspace")
{
    Fixture it;
    it.acquire("busy");
    for (int i = 0; i < 3; ++i)
        it.acquire("a", RequestPriority::low);
    it.acquire("a", RequestPriority::high);
    it.acquire("b");
    for (int i = 0; i < 5; ++i)
        it.release();
    CHECK(it.started == std::vector<std::string> { "busy/1", "a/2", "b/1", "a/0", "a/0", "a/0" });
}

// Guards against unbounded queues, and against a refusal without a retry time.
TEST_CASE("a request beyond the limits is refused immediately")
{
    AdmissionLimits limits;
    limits.perClass = 2;
    limits.total = 3;
    Fixture it { limits };
    for (int i = 0; i < 4; ++i)
        it.acquire("a");
    CHECK(it.refusals.size() == 1);
    CHECK(it.refusals[0].first.status == 429);
    CHECK(it.refusals[0].first.outcome == Outcome::notRun);
    CHECK(it.refusals[0].first.retryAfter);
    it.acquire("b");
    it.acquire("c");
    CHECK(it.refusals.size() == 2);
    CHECK(it.refusals[1].first.status == 503);
    CHECK(it.admission->waiting() == 3);
}

// Guards against a request that waits until its deadline although it is known that it cannot start in time.
TEST_CASE("a request that cannot start before its deadline is refused immediately")
{
    Fixture it;
    it.acquire("a");
    it.acquire("a");
    it.advance(1s);
    it.release();
    for (int i = 0; i < 3; ++i)
        it.acquire("a");
    CHECK(it.refusals.empty());
    const auto now = it.timing.now();
    it.acquire("a", RequestPriority::normal, 5s);
    CHECK(it.refusals.size() == 1);
    CHECK(it.refusals[0].second == now);
    CHECK(it.refusals[0].first.retryAfter == Duration { 4s });
}

// Guards against a wrong estimate that makes a request wait until its deadline.
TEST_CASE("a waiting request is refused after half of its timeout")
{
    Fixture it;
    it.acquire("a");
    it.acquire("a", RequestPriority::normal, 4s);
    it.advance(10s);
    CHECK(it.refusals.size() == 1);
    CHECK(it.refusals[0].second == TimePoint { 2s });
    CHECK(it.admission->waiting() == 0);
}

// Guards against requests that wait although no executor is left.
TEST_CASE("no request waits without executors")
{
    Fixture it;
    it.acquire("a");
    it.acquire("a");
    it.slots = 0;
    it.advance(100ms);
    CHECK(it.refusals.size() == 1);
    CHECK(it.refusals[0].first.status == 503);
    it.acquire("a");
    CHECK(it.refusals.size() == 2);
    it.slots = 2;
    it.acquire("a");
    CHECK(it.started.size() == 2);
}

// Guards against waiting requests that are forgotten when the entry stops.
TEST_CASE("closing refuses waiting and future requests")
{
    Fixture it;
    it.acquire("a");
    it.acquire("a");
    it.admission->close();
    it.poll();
    it.acquire("a");
    CHECK(it.refusals.size() == 2);
    it.release();
}

// Guards against more running requests than slots, leaked slots and requests without an outcome.
TEST_CASE("random arrivals and departures keep the slots consistent")
{
    CHECK(rc::check([](const std::vector<std::uint8_t>& operations) {
        AdmissionLimits limits;
        limits.perClass = 3;
        limits.total = 8;
        Fixture it { limits };
        it.slots = 3;
        std::size_t entered = 0;
        for (const auto op : operations) {
            if (op % 4U < 2) {
                const auto priority = static_cast<RequestPriority>(op / 8U % 3U);
                it.acquire(std::to_string(op / 32U), priority, std::chrono::seconds { 1 + op % 5 });
                ++entered;
            } else if (op % 4U == 2 && !it.tickets.empty()) {
                it.release();
            } else {
                it.advance(std::chrono::milliseconds { op * 10 });
            }
            RC_ASSERT(it.tickets.size() <= 3);
            RC_ASSERT(it.admission->waiting() <= limits.total);
            RC_ASSERT((it.admission->waiting() == 0 || it.tickets.size() == 3));
            RC_ASSERT(it.started.size() + it.refusals.size() + it.admission->waiting() == entered);
        }
    }));
}

// Guards against waiting requests that are lost when several threads process the queue.
TEST_CASE("every request of several threads gets a slot or a refusal")
{
    Metrics metrics;
    const auto admission
        = std::make_shared<Admission<SteadyTiming>>([] { return 2U; }, AdmissionLimits {}, metrics, SteadyTiming {});
    std::atomic<unsigned> running { 0 };
    std::atomic<unsigned> ended { 0 };
    std::atomic<bool> exceeded { false };
    const auto request = [&]() -> Awaitable<> {
        const WorkspaceId workspace { "w" };
        const auto deadline = admission->now() + 1h;
        const auto result = co_await admission->acquire(workspace, RequestPriority::normal, deadline);
        if (result.ticket.isHeld()) {
            if (running.fetch_add(1) >= 2)
                exceeded = true;
            co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
            running.fetch_sub(1);
        }
        ended.fetch_add(1);
    };
    {
        std::vector<std::jthread> threads;
        for (int i = 0; i < 4; ++i) {
            threads.emplace_back([&] {
                asio::io_context context;
                for (int n = 0; n < 200; ++n)
                    asio::co_spawn(context, request(), asio::detached);
                context.run();
            });
        }
    }
    CHECK(ended == 800);
    CHECK_FALSE(exceeded);
    CHECK(admission->waiting() == 0);
}
