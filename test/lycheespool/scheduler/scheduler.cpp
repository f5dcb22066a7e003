#include "lycheespool/scheduler/scheduler.h"

#include "sim_cluster.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

bool isIn(const SimCluster& cluster, const std::string& job, JobState state)
{
    return cluster.record(job).state == state;
}

}

// Guards against a job that gets lost between its row and the workers, or whose end is never written.
TEST_CASE("a job runs from its row to the end")
{
    SimCluster cluster { 1, 4 };
    cluster.submit("j", 4);
    cluster.advance(3s);
    CHECK(isIn(cluster, "j", JobState::running));
    CHECK(cluster.running().size() == 4);
    cluster.advance(65s);
    CHECK(isIn(cluster, "j", JobState::done));
    CHECK(cluster.record("j").attempt == Attempt { 1 });
    CHECK(cluster.rows.list(JobRows::inboxPrefix).empty());
    for (auto& [id, agent] : cluster.agents)
        CHECK(agent.model.list(cluster.clock.now()).empty());
}

// Guards against a gang of which three tasks start although the fourth worker has no room.
TEST_CASE("one refusal of four releases all and no task starts")
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
    CHECK(isIn(cluster, "j", JobState::queued));
    cluster.orders.release();
    cluster.advance(10s);
    CHECK(isIn(cluster, "j", JobState::running));
    CHECK(cluster.longestPartial == Duration {});
}

// Guards against a leader that was deposed during a start and still starts tasks or writes the job's row.
TEST_CASE("a deposed leader neither writes the row nor starts the gang")
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
    cluster.orders.release();
    cluster.poll();
    cluster.entries[0]->paused = false;
    cluster.advance(5s);
    for (const auto& [agent, order] : cluster.orders.sent)
        CHECK((order.kind == OrderKind::reserve || order.epoch == Epoch { 2 }));
    CHECK_FALSE(cluster.entries[0]->scheduler.isLeader());
    CHECK(isIn(cluster, "j", JobState::running));
    CHECK_FALSE(cluster.ranTwice);
}

// Guards against a write that passes because only the job's own version is a condition.
TEST_CASE("the row write of a deposed leader fails on the lease row")
{
    SimCluster cluster { 1, 1 };
    cluster.advance(2s);
    const auto key = LeaseRecord::key("main");
    auto usurper = LeaseRecord::decode(cluster.rows.get(key).value);
    usurper.holder = EntryId { "other" };
    usurper.epoch = Epoch { 9 };
    cluster.submit("j", 1);
    cluster.orders.onlyKind = OrderKind::reserve;
    cluster.orders.faults[AgentId { "w0" }] = OrderFault::hold;
    cluster.advance(500ms);
    cluster.rows.commit({ {}, { { key, usurper.encode() } } });
    cluster.orders.release();
    cluster.poll();
    CHECK(isIn(cluster, "j", JobState::queued));
    CHECK(cluster.orders.count(OrderKind::start) == 0);
}

// Guards against a leader that resumes after a pause longer than its term and goes on where it stopped.
TEST_CASE("a leader paused past its lease does nothing")
{
    SimCluster cluster { 1, 1 };
    cluster.advance(2s);
    cluster.submit("j", 1);
    cluster.orders.onlyKind = OrderKind::reserve;
    cluster.orders.faults[AgentId { "w0" }] = OrderFault::hold;
    cluster.advance(500ms);
    cluster.clock.advance(3s);
    const auto writes = cluster.rows.get(JobRows::jobKey(JobId { "j" })).version;
    cluster.orders.release();
    cluster.poll();
    CHECK(cluster.orders.sent.size() == 1);
    CHECK(cluster.rows.get(JobRows::jobKey(JobId { "j" })).version == writes);
}

// Guards against a start that is doubled or a job that is forgotten because the answer of a write got lost.
TEST_CASE("a job whose row write lost its answer is neither lost nor doubled")
{
    for (const auto lost : { 1U, 2U, 3U, 6U }) {
        SimCluster cluster { 1, 4 };
        cluster.advance(2s);
        cluster.submit("j", 4);
        cluster.orders.onlyKind = OrderKind::reserve;
        cluster.orders.faults[AgentId { "w0" }] = OrderFault::hold;
        cluster.advance(500ms);
        // The next commit is the write of the job's row; further lost answers hit renewals of the lease.
        cluster.entries[0]->faults.loseAnswers = lost;
        cluster.orders.release();
        cluster.advance(20s);
        CHECK(isIn(cluster, "j", JobState::running));
        CHECK(cluster.running().size() == 4);
        CHECK(cluster.record("j").attempt == Attempt { 1 });
        CHECK(cluster.orders.count(OrderKind::start) == 2);
        cluster.advance(50s);
        CHECK(isIn(cluster, "j", JobState::done));
    }
}

// Guards against a row that says running for a gang that was given up because its write could not be confirmed.
TEST_CASE("a start whose row write is neither confirmed nor readable is given up and tried again")
{
    SimCluster cluster { 1, 4 };
    cluster.advance(2s);
    cluster.submit("j", 4);
    cluster.orders.onlyKind = OrderKind::reserve;
    cluster.orders.faults[AgentId { "w0" }] = OrderFault::hold;
    cluster.advance(500ms);
    cluster.entries[0]->faults.loseAnswers = 1;
    cluster.entries[0]->table.failReads = 1;
    cluster.orders.release();
    cluster.poll();
    CHECK(isIn(cluster, "j", JobState::running));
    CHECK(cluster.running().empty());
    cluster.advance(5s);
    CHECK(cluster.record("j").attempt == Attempt { 2 });
    CHECK(cluster.running().size() == 4);
    CHECK(cluster.orders.count(OrderKind::start) == 2);
}

// Guards against running work that is stopped, or new work that is started, while the table is down.
TEST_CASE("with the table down for 60 s no gang is stopped and none is started")
{
    SimCluster cluster { 2, 4 };
    cluster.submit("long", 2, 600);
    cluster.advance(5s);
    REQUIRE(isIn(cluster, "long", JobState::running));
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
    CHECK(isIn(cluster, "new", JobState::running));
    CHECK(cluster.record("long").attempt == Attempt { 1 });
    CHECK(cluster.running().size() == 4);
}

// Guards against a new leader that restarts what runs already.
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

// Guards against a gang that goes on with a part, or starts from nothing, after the failure of one task.
TEST_CASE("a task that vanishes restarts the whole gang from its last common checkpoint")
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

// Guards against a gang that goes on with three of four tasks after one reported its failure.
TEST_CASE("a task that fails restarts the whole gang")
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

// Guards against tasks on a worker that was declared lost while they still run, which would run the job twice.
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

// Guards against 33 s of waiting for a worker that came back empty.
TEST_CASE("a worker that restarted without its tasks costs the gang no waiting time")
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

// Guards against a cancellation that gets lost in a race with the leader's own write of the row.
TEST_CASE("a cancelled job stops in every phase")
{
    SimCluster cluster { 1, 1 };
    cluster.advance(2s);
    cluster.submit("runs", 2, 600);
    cluster.submit("waits", 2, 600);
    cluster.advance(3s);
    REQUIRE(isIn(cluster, "runs", JobState::running));
    cluster.cancel("waits");
    cluster.advance(2s);
    CHECK(isIn(cluster, "waits", JobState::cancelled));
    cluster.cancel("runs");
    cluster.submit("races", 2, 600);
    cluster.orders.onlyKind = OrderKind::reserve;
    cluster.orders.faults[AgentId { "w0" }] = OrderFault::hold;
    cluster.advance(3s);
    CHECK(isIn(cluster, "runs", JobState::cancelled));
    cluster.cancel("races");
    cluster.orders.release();
    cluster.advance(5s);
    CHECK(isIn(cluster, "races", JobState::cancelled));
    CHECK(cluster.running().empty());
}

// Guards against a planned stop that loses the work since the last periodic checkpoint.
TEST_CASE("a gang on a leaving worker is checkpointed and moves")
{
    SimCluster cluster { 1, 4 };
    cluster.submit("j", 4, 600);
    cluster.advance(100s);
    cluster.agent("w0").tasks->leave();
    cluster.advance(5s);
    const auto tasks = cluster.running();
    REQUIRE(tasks.size() == 4);
    CHECK(tasks[0].progress > 90s);
    CHECK(cluster.agent("w0").tasks->running() == 0);
}
