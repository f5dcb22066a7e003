#include "lycheespool/gateway/job_gateway.h"

#include "lycheespool/gateway/access.h"
#include "lycheespool/store/fake_row_store.h"

#include <doctest/doctest.h>

#include <thread>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    FakeRows rows;
    FakeRowStore firstStore { rows };
    FakeRowStore secondStore { rows };
    Metrics metrics;
    JobGateway<FakeRowStore> first { firstStore, RowNames {}, metrics };
    JobGateway<FakeRowStore> second { secondStore, RowNames {}, metrics };

    static JobRow job()
    {
        JobRow row;
        row.queue = "queue";
        row.workspace = "workspace";
        row.request.steps.resize(1);
        return row;
    }

    static TimePoint soon() { return BootClock {}.now() + 500ms; }

    [[nodiscard]] std::size_t storedJobs() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(rows.rows, [](const auto& it) { return it.first.key.starts_with("job/"); }));
    }
};

}

TEST_CASE("a job submitted at two entries is stored once and accepted by both")
{
    Fixture f;
    CHECK(await(f.first.submit("id", Fixture::job(), Fixture::soon())) == GatewayResult::accepted);
    CHECK(await(f.second.submit("id", Fixture::job(), Fixture::soon())) == GatewayResult::accepted);
    CHECK(f.storedJobs() == 1);
    CHECK(f.first.pendingIn("queue") == 1);
}

// Guards against a job that the store refuses for good and whose client waits and retries in vain.
TEST_CASE("a job larger than a row is refused before the store is called")
{
    Fixture f;
    auto job = Fixture::job();
    const auto maxBytes = packValue(job).size();
    JobGateway<FakeRowStore> gateway { f.firstStore, RowNames {}, f.metrics, maxBytes };
    CHECK(await(gateway.submit("id", job, Fixture::soon())) == GatewayResult::accepted);
    job.request.payload += "x";
    CHECK_THROWS_AS((void)await(gateway.submit("other", job, Fixture::soon())), Error);
    CHECK(f.storedJobs() == 1);
}

TEST_CASE("a submission whose answer was lost is accepted by a second attempt")
{
    Fixture f;
    f.firstStore.loseAnswers = 1;
    CHECK(await(f.first.submit("id", Fixture::job(), Fixture::soon())) == GatewayResult::accepted);
    CHECK(f.storedJobs() == 1);
}

TEST_CASE("a submission that may still be stored is never reported as rejected")
{
    Fixture f;
    f.firstStore.delayCommits = 100;
    CHECK(await(f.first.submit("id", Fixture::job(), Fixture::soon())) == GatewayResult::unknown);
    f.firstStore.applyLate();
    CHECK(f.storedJobs() == 1);
}

TEST_CASE("the outcome of a submission stays unknown if the store refuses after an unanswered attempt")
{
    Fixture f;
    f.firstStore.delayCommits = 1;
    asio::io_context context;
    std::optional<GatewayResult> result;
    asio::co_spawn(context, f.first.submit("id", Fixture::job(), Fixture::soon()),
        [&](std::exception_ptr, GatewayResult it) { result = it; });
    context.run_one();
    f.firstStore.isRefusing = true;
    context.run();
    CHECK(result == GatewayResult::unknown);
}

TEST_CASE("a submission that the store refuses is rejected quickly and not stored")
{
    Fixture f;
    f.firstStore.isRefusing = true;
    const auto startedAt = BootClock {}.now();
    CHECK(await(f.first.submit("id", Fixture::job(), startedAt + 60s)) == GatewayResult::rejected);
    CHECK(BootClock {}.now() - startedAt < 30s);
    CHECK(f.firstStore.commits == 2);
    CHECK(f.storedJobs() == 0);
}

TEST_CASE("a submission is rejected without an attempt if the store has been silent for too long")
{
    Fixture f;
    f.firstStore.delayCommits = 100;
    const auto rejectedFrom = BootClock {}.now() + JobGateway<FakeRowStore>::storeSilenceLimit;
    while (BootClock {}.now() <= rejectedFrom)
        std::this_thread::sleep_for(50ms);
    CHECK(await(f.first.submit("id", Fixture::job(), Fixture::soon())) == GatewayResult::rejected);
    CHECK(f.firstStore.commits == 0);
    CHECK(f.first.retryAfter(20s, 26s) == 5s);
    CHECK(f.first.retryAfter(3s, 26s) == 1s);
}

TEST_CASE("a job is known to every entry before the leader has admitted it")
{
    Fixture f;
    CHECK(await(f.first.submit("id", Fixture::job(), Fixture::soon())) == GatewayResult::accepted);
    const auto found = await(f.second.find("id"));
    REQUIRE(found);
    REQUIRE(*found);
    CHECK((*found)->state == WorkloadState::pending);
}

TEST_CASE("a job is reported as not found only if the store confirms it")
{
    Fixture f;
    const auto none = await(f.first.find("id"));
    REQUIRE(none);
    CHECK_FALSE(*none);
    f.firstStore.isRefusing = true;
    CHECK_FALSE(await(f.first.find("id")));
}

TEST_CASE("an unknown job cannot be cancelled, and a cancellation is stored before it is acknowledged")
{
    Fixture f;
    CHECK(await(f.first.cancel("id", Fixture::soon())) == GatewayResult::notFound);
    (void)await(f.first.submit("id", Fixture::job(), Fixture::soon()));
    CHECK(await(f.second.cancel("id", Fixture::soon())) == GatewayResult::accepted);
    CHECK(f.rows.rows.contains(RowNames {}.cancel("id")));
}

TEST_CASE("the number of pending jobs follows changes of their state")
{
    JobDirectory directory;
    directory.insert("a", WorkloadState::pending, "queue", 0);
    directory.insert("a", WorkloadState::pending, "queue", 5);
    directory.insert("b", WorkloadState::pending, "queue", 6);
    CHECK(directory.pendingIn("queue") == 2);
    directory.insert("a", WorkloadState::running, "queue", 7);
    directory.insert("a", WorkloadState::pending, "queue", 6);
    CHECK(directory.pendingIn("queue") == 1);
    CHECK(directory.find("a")->state == WorkloadState::running);
    directory.remove("b");
    CHECK(directory.pendingIn("queue") == 0);
}

TEST_CASE("the longest prefix selects the queue, and a key is required unless the queue allows anonymous calls")
{
    OperatorConfig config;
    config.queues.push_back({ "outer", "host", "/a/", {}, true });
    config.queues.push_back({ "inner", "host", "/a/b/", {}, false });
    config.workspaces.push_back({ "team", { "key" }, 0 });
    CHECK(checkAccess(config, "host", "/a/b/1", "key").queue->name == "inner");
    CHECK(checkAccess(config, "host", "/a/1", "").decision == AccessDecision::allowed);
    CHECK(checkAccess(config, "host", "/a/b/1", "").decision == AccessDecision::unknownKey);
    CHECK(checkAccess(config, "host", "/a/b/1", "other").decision == AccessDecision::unknownKey);
    CHECK(checkAccess(config, "other", "/a/b/1", "key").decision == AccessDecision::noQueue);
}

// Guards against submissions that are rejected because the entry learns of the store's return only after a long wait.
TEST_CASE("after a failure an entry asks the store without waiting for a change")
{
    Fixture f;
    asio::io_context context;
    asio::co_spawn(context, f.first.run(), asio::detached);
    context.run_for(20ms);
    CHECK(f.firstStore.lastWait > 0ms);
    f.firstStore.isRefusing = true;
    context.run_for(200ms);
    CHECK(f.firstStore.lastWait == 0ms);
    f.firstStore.isRefusing = false;
    f.firstStore.answered = BootClock {}.now() - 10s;
    CHECK_FALSE(f.first.isStoreReachable());
    context.run_for(200ms);
    CHECK(f.first.isStoreReachable());
    CHECK(f.firstStore.lastWait > 0ms);
}
