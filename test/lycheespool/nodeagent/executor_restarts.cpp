// An agent whose executor restarts under its id, with connections that are reset or fall silent.
#include "lycheespool/nodeagent/agent_fixture.h"
#include "lycheespool/nodeagent/fake_executor_host.h"
#include "lycheespool/nodeagent/verified_connections.h"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t formerStart = 1000;
constexpr std::int64_t presentStart = 2000;

/*! @brief An agent whose executor has ended a run and got its acknowledgement. */
class RestartFixture {
public:
    RestartFixture()
    {
        auto& process = host.startProcess(formerStart, AcknowledgementReading::atCall);
        process.end("former.0.0.0", 1, RunEndKind::done);
        m_former = host.present;
        agent.announce(formerStart);
        REQUIRE(agent.runUntil([&](const NodeReport&) { return m_former->highestAcknowledged == 1; }));
        agent.runFor(50ms);
    }

    /*! @brief Restarts the executor under its id; its announcement has not arrived yet. */
    void restart(bool isSilent, AcknowledgementReading reading = AcknowledgementReading::atCall)
    {
        host.crash(isSilent);
        host.startProcess(presentStart, reading);
    }

    FakeExecutorHost host;
    Metrics metrics;
    VerifiedConnections<FakeExecutorHost> connections { host, metrics };
    AgentWithLeader<VerifiedConnections<FakeExecutorHost>> agent { connections };

private:
    std::shared_ptr<FakeProcess> m_former;
};

}

// Guards against a task that runs twice: its end was forgotten, unseen, because the agent acknowledged the ends of the
// former lifetime to an executor that had restarted while its connections were silent (TWICE, review/6).
TEST_CASE("an end of a restarted executor is not forgotten before the agent has reported it")
{
    for (const bool isSilent : { true, false }) {
        CAPTURE(isSilent);
        RestartFixture f;
        f.restart(isSilent);
        auto& present = *f.host.present;
        present.end("job.0.0.0", 1, RunEndKind::done);
        f.agent.announce(presentStart);
        CHECK(f.agent.runUntil(
            [](const NodeReport& it) { return it.lifetime.startedUnixMs == presentStart && !it.ended.empty(); }));
        f.agent.runFor(100ms);
        CHECK(present.forgotten == std::vector<std::uint64_t> { 1 });
    }
}

// Guards against a task that runs twice: an executor that keeps the highest acknowledgement forgets its first ends as
// they arise, after a single call with the number of its former lifetime (TWICE, issue 48).
TEST_CASE("a restarted executor never gets the acknowledgement of its former lifetime")
{
    for (const bool isSilent : { true, false }) {
        CAPTURE(isSilent);
        RestartFixture f;
        f.restart(isSilent, AcknowledgementReading::highestEver);
        auto& present = *f.host.present;
        f.agent.runFor(300ms);
        f.agent.announce(presentStart);
        REQUIRE(f.agent.runUntil(
            [](const NodeReport& it) { return it.lifetime.startedUnixMs == presentStart && it.provesExecutor(); }));
        CHECK(present.highestAcknowledged == 0);
        present.end("job.0.0.0", 1, RunEndKind::done);
        CHECK(f.agent.runUntil(
            [](const NodeReport& it) { return it.lifetime.startedUnixMs == presentStart && !it.ended.empty(); }));
    }
}

// Guards against a task that runs twice at the same time: the start was meant for the former lifetime, and the leader
// started the task elsewhere when it learnt that this lifetime had ended (TWICE, review/7).
TEST_CASE("a start or stop for the former lifetime does not reach an executor that has restarted")
{
    for (const bool isSilent : { true, false }) {
        for (const bool isStart : { true, false }) {
            CAPTURE(isSilent);
            CAPTURE(isStart);
            RestartFixture f;
            f.restart(isSilent);
            f.agent.order({ isStart, "job.0.0.0", 1, "work", {} });
            f.agent.runFor(300ms);
            f.agent.announce(presentStart);
            REQUIRE(f.agent.runUntil(
                [](const NodeReport& it) { return it.lifetime.startedUnixMs == presentStart && it.provesExecutor(); }));
            CHECK(f.host.present->starts.empty());
            CHECK(f.host.present->stops.empty());
        }
    }
}

TEST_CASE("a start reaches the executor that it names")
{
    RestartFixture f;
    f.restart(true);
    f.agent.announce(presentStart);
    REQUIRE(f.agent.runUntil(
        [](const NodeReport& it) { return it.lifetime.startedUnixMs == presentStart && it.provesExecutor(); }));
    f.agent.order({ true, "job.0.0.0", 1, "work", {} });
    f.agent.runFor(200ms);
    REQUIRE(f.host.present->starts.size() == 1);
    CHECK(f.host.present->starts.front().task == "job.0.0.0");
}
