#include "lycheespool/scheduler/scheduler.h"

#include "sim_cluster.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

bool isInState(const SimCluster& cluster, const std::string& job, JobState state)
{
    return cluster.record(job).state == state;
}

}

// Guards against a submitted job that never reaches the workers, or whose end is never written.
TEST_CASE("a submitted job runs to completion")
{
    SimCluster cluster { 1, 4 };
    cluster.submit("j", 4);
    cluster.advance(3s);
    CHECK(isInState(cluster, "j", JobState::running));
    CHECK(cluster.running().size() == 4);
    cluster.advance(65s);
    CHECK(isInState(cluster, "j", JobState::done));
    CHECK(cluster.record("j").attempt == Attempt { 1 });
    CHECK(cluster.rows.list(JobRows::inboxPrefix).empty());
    for (auto& [id, agent] : cluster.agents)
        CHECK(agent.model.list(cluster.clock.now()).empty());
}

// Guards against a gang that starts in part although one of its workers refused the reservation.
TEST_CASE("if one worker refuses its reservation, all are released and no task starts")
{
    SimCluster cluster { 1, 4 };
    cluster.advance(2s);
    cluster.orders.onlyKind = OrderKind::reserve;
    cluster.orders.faults[AgentId { "w3" }] = OrderFault::refuse;
    cluster.submit("j", 8);
    cluster.advance(1500ms);
    CHECK(cluster.orders.count(OrderKind::reserve) >= 4);
    CHECK(cluster.orders.count(OrderKind::release) == cluster.orders.count(OrderKind::reserve));
    CHECK(cluster.orders.count(OrderKind::start) == 0);
    CHECK(isInState(cluster, "j", JobState::queued));
    cluster.orders.endFaults();
    cluster.advance(10s);
    CHECK(isInState(cluster, "j", JobState::running));
    CHECK(cluster.longestPartial == Duration {});
}

// Guards against a leader that loses its lease during a start and still starts tasks or writes the job's row.
TEST_CASE("a former leader neither writes the row nor starts the gang")
{
    SimCluster cluster { 2, 4 };
    cluster.advance(2s);
    REQUIRE(cluster.entries[0]->scheduler.isLeader());
    cluster.submit("j", 4);
    cluster.orders.timeouts = false;
    cluster.orders.onlyKind = OrderKind::reserve;
    cluster.orders.faults[AgentId { "w0" }] = OrderFault::hold;
    cluster.advance(500ms);
    REQUIRE(cluster.orders.count(OrderKind::reserve) == 2);
    cluster.entries[0]->paused = true;
    cluster.advance(7s);
    REQUIRE(cluster.entries[1]->scheduler.isLeader());
    cluster.orders.endFaults();
    cluster.poll();
    cluster.entries[0]->paused = false;
    cluster.advance(5s);
    for (const auto& [agent, order] : cluster.orders.sent)
        CHECK((order.kind == OrderKind::reserve || order.epoch == Epoch { 2 }));
    CHECK_FALSE(cluster.entries[0]->scheduler.isLeader());
    CHECK(isInState(cluster, "j", JobState::running));
    CHECK_FALSE(cluster.ranTwice);
}

// Guards against a write of a former leader that succeeds because only the job's own version is a condition.
TEST_CASE("the row write of a former leader fails on the condition of the lease row")
{
    SimCluster cluster { 1, 1 };
    cluster.advance(2s);
    const auto key = LeaseRecord::key("main");
    auto otherLeader = LeaseRecord::decode(cluster.rows.get(key).value);
    otherLeader.holder = EntryId { "other" };
    otherLeader.epoch = Epoch { 9 };
    cluster.submit("j", 1);
    cluster.orders.onlyKind = OrderKind::reserve;
    cluster.orders.faults[AgentId { "w0" }] = OrderFault::hold;
    cluster.advance(500ms);
    cluster.rows.commit({ {}, { { key, otherLeader.encode() } } });
    cluster.orders.endFaults();
    cluster.poll();
    CHECK(isInState(cluster, "j", JobState::queued));
    CHECK(cluster.orders.count(OrderKind::start) == 0);
}

// Guards against a leader that continues its operations after a pause during which its lease expired.
TEST_CASE("a leader whose lease expired during a pause sends and writes nothing")
{
    SimCluster cluster { 1, 1 };
    cluster.advance(2s);
    cluster.submit("j", 1);
    cluster.orders.onlyKind = OrderKind::reserve;
    cluster.orders.faults[AgentId { "w0" }] = OrderFault::hold;
    cluster.advance(500ms);
    cluster.clock.advance(3s);
    const auto writes = cluster.rows.get(JobRows::jobKey(JobId { "j" })).version;
    cluster.orders.endFaults();
    cluster.poll();
    CHECK(cluster.orders.sent.size() == 1);
    CHECK(cluster.rows.get(JobRows::jobKey(JobId { "j" })).version == writes);
}

// Guards against a gang that starts twice, or a job that is lost, because the reply to a row write was lost.
TEST_CASE("a job is neither lost nor started twice if the reply to its row write is lost")
{
    for (const auto lost : { 1U, 2U, 3U, 6U }) {
        SimCluster cluster { 1, 4 };
        cluster.advance(2s);
        cluster.submit("j", 4);
        cluster.orders.onlyKind = OrderKind::reserve;
        cluster.orders.faults[AgentId { "w0" }] = OrderFault::hold;
        cluster.advance(500ms);
        // The next commit is the write of the job's row; further lost replies are those of lease renewals.
        cluster.entries[0]->faults.loseAnswers = lost;
        cluster.orders.endFaults();
        cluster.advance(20s);
        CHECK(isInState(cluster, "j", JobState::running));
        CHECK(cluster.running().size() == 4);
        CHECK(cluster.record("j").attempt == Attempt { 1 });
        CHECK(cluster.orders.count(OrderKind::start) == 2);
        cluster.advance(50s);
        CHECK(isInState(cluster, "j", JobState::done));
    }
}

// Guards against a row that stays running for a gang whose start was abandoned because the write was not confirmed.
TEST_CASE("a start is abandoned and retried if its row write is neither confirmed nor readable")
{
    SimCluster cluster { 1, 4 };
    cluster.advance(2s);
    cluster.submit("j", 4);
    cluster.orders.onlyKind = OrderKind::reserve;
    cluster.orders.faults[AgentId { "w0" }] = OrderFault::hold;
    cluster.advance(500ms);
    cluster.entries[0]->faults.loseAnswers = 1;
    cluster.entries[0]->table.failReads = 1;
    cluster.orders.endFaults();
    cluster.poll();
    CHECK(isInState(cluster, "j", JobState::running));
    CHECK(cluster.running().empty());
    cluster.advance(5s);
    CHECK(cluster.record("j").attempt == Attempt { 2 });
    CHECK(cluster.running().size() == 4);
    CHECK(cluster.orders.count(OrderKind::start) == 2);
}

// Guards against stopping running gangs, or starting new ones, while the table is down.
TEST_CASE("with the table down for 60 s no gang is stopped and none is started")
{
    SimCluster cluster { 2, 4 };
    cluster.submit("long", 2, 600);
    cluster.advance(5s);
    REQUIRE(isInState(cluster, "long", JobState::running));
    for (auto& entry : cluster.entries)
        entry->faults.down = true;
    cluster.submit("new", 2);
    cluster.agent("w3").partitioned = true;
    cluster.orders.sent.clear();
    cluster.advance(60s);
    CHECK(cluster.running().size() == 2);
    CHECK(cluster.orders.count(OrderKind::stop) == 0);
    CHECK(cluster.orders.count(OrderKind::start) == 0);
    for (auto& entry : cluster.entries)
        entry->faults.down = false;
    cluster.advance(10s);
    CHECK(isInState(cluster, "new", JobState::running));
    CHECK(cluster.record("long").attempt == Attempt { 1 });
    CHECK(cluster.running().size() == 4);
}

// Guards against a new leader that restarts gangs that are already running.
TEST_CASE("a new leader adopts running gangs")
{
    SimCluster cluster { 2, 8 };
    cluster.submit("a", 8, 600);
    cluster.submit("b", 4, 600);
    cluster.advance(5s);
    REQUIRE(cluster.running().size() == 12);
    cluster.entries[0]->paused = true;
    cluster.orders.sent.clear();
    cluster.advance(60s);
    REQUIRE(cluster.entries[1]->scheduler.isLeader());
    CHECK(cluster.orders.sent.empty());
    CHECK(cluster.running().size() == 12);
    cluster.submit("c", 4, 600);
    cluster.advance(5s);
    CHECK(cluster.running().size() == 16);
}

// Guards against a gang that continues in part, or restarts without its checkpoint, after the loss of one task.
TEST_CASE("a lost task restarts the whole gang from its last common checkpoint")
{
    SimCluster cluster { 1, 4 };
    cluster.submit("j", 4, 3600);
    cluster.advance(605s);
    const auto saved = cluster.record("j").checkpoint;
    CHECK(saved >= 595s);
    auto& agent = cluster.agent("w0");
    const auto key = agent.model.list(cluster.clock.now()).at(0).key;
    agent.model.stop(key, cluster.clock.now());
    cluster.advance(5s);
    CHECK(cluster.record("j").attempt == Attempt { 2 });
    const auto tasks = cluster.running();
    REQUIRE(tasks.size() == 4);
    for (const auto& it : tasks) {
        CHECK(it.key.attempt == Attempt { 2 });
        CHECK(it.progress >= saved);
        CHECK(it.progress < saved + 10s);
    }
    CHECK(cluster.longestPartial <= 2s);
}

// Guards against a gang that continues with three of four tasks after one reported its failure.
TEST_CASE("a failed task restarts the whole gang")
{
    SimCluster cluster { 1, 4 };
    auto& agent = cluster.agent("w0");
    agent.model.setFaults({ true, false, false, 100 }, cluster.clock.now());
    cluster.submit("j", 4);
    cluster.advance(1500ms);
    agent.model.setFaults({}, cluster.clock.now());
    cluster.advance(5s);
    CHECK(cluster.record("j").attempt > Attempt { 1 });
    CHECK(cluster.running().size() == 4);
    CHECK(cluster.longestPartial <= 1s);
}

// Guards against declaring a worker lost while its tasks still run, which would run the job twice.
TEST_CASE("a partitioned worker's gang restarts elsewhere only after its leases have expired")
{
    SimCluster cluster { 1, 4 };
    cluster.submit("j", 4, 600);
    cluster.advance(5s);
    cluster.agent("w0").partitioned = true;
    cluster.advance(32s);
    CHECK(cluster.record("j").attempt == Attempt { 1 });
    cluster.advance(5s);
    CHECK(cluster.record("j").attempt == Attempt { 2 });
    CHECK(cluster.running().size() == 4);
    CHECK_FALSE(cluster.ranTwice);
    CHECK(cluster.longestPartial <= 5s);
}

// Guards against waiting 33 s for a worker that restarted without its tasks.
TEST_CASE("a gang restarts without delay if its worker restarted without its tasks")
{
    SimCluster cluster { 1, 4 };
    cluster.submit("j", 4, 600);
    cluster.advance(10s);
    auto& agent = cluster.agent("w0");
    agent.model = WorkerModel { { 60, 128000, 8 } };
    agent.restart();
    cluster.advance(4s);
    CHECK(cluster.record("j").attempt == Attempt { 2 });
    CHECK(cluster.running().size() == 4);
}

// Guards against a cancellation that is lost in a race with the leader's own write of the row.
TEST_CASE("a job can be cancelled in every phase")
{
    SimCluster cluster { 1, 1 };
    cluster.advance(2s);
    cluster.submit("runs", 2, 600);
    cluster.submit("waits", 2, 600);
    cluster.advance(3s);
    REQUIRE(isInState(cluster, "runs", JobState::running));
    cluster.cancel("waits");
    cluster.advance(2s);
    CHECK(isInState(cluster, "waits", JobState::cancelled));
    cluster.cancel("runs");
    cluster.submit("races", 2, 600);
    cluster.orders.onlyKind = OrderKind::reserve;
    cluster.orders.faults[AgentId { "w0" }] = OrderFault::hold;
    cluster.advance(3s);
    CHECK(isInState(cluster, "runs", JobState::cancelled));
    cluster.cancel("races");
    cluster.orders.endFaults();
    cluster.advance(5s);
    CHECK(isInState(cluster, "races", JobState::cancelled));
    CHECK(cluster.running().empty());
}

// Guards against a planned stop that loses the work since the last periodic checkpoint.
TEST_CASE("a gang on a draining worker is checkpointed and moved")
{
    SimCluster cluster { 1, 4 };
    cluster.submit("j", 4, 600);
    cluster.advance(100s);
    cluster.agent("w0").tasks->startDrain();
    cluster.advance(5s);
    const auto tasks = cluster.running();
    REQUIRE(tasks.size() == 4);
    CHECK(tasks[0].progress > 90s);
    CHECK(cluster.agent("w0").tasks->running() == 0);
}
