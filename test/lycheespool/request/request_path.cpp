#include "lycheespool/request/request_path.h"
#include "cluster.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

ClaimRow rowOf(const TestCluster& cluster, const std::string& key)
{
    return decodeClaim(cluster.rows.get("claim/w/" + key).value);
}

unsigned runsOf(TestCluster& cluster, const std::string& key) { return cluster.agents.state().runs["claim/w/" + key]; }

}

// Guards against a retry that runs the request again or returns another answer.
TEST_CASE("a retry through another entry returns the stored answer")
{
    TestCluster cluster { 2, 2 };
    const auto first = cluster.execute(0, nonIdempotentRequest("k"));
    CHECK(first.outcome == Outcome::done);
    const auto second = cluster.execute(1, nonIdempotentRequest("k"));
    CHECK(second.outcome == Outcome::done);
    CHECK(second.body == first.body);
    CHECK(runsOf(cluster, "k") == 1);
}

// Guards against an answer that belongs to another body.
TEST_CASE("a key with another body is refused with 422")
{
    TestCluster cluster { 1, 1 };
    CHECK(cluster.execute(0, nonIdempotentRequest("k", "one")).outcome == Outcome::done);
    const auto other = cluster.execute(0, nonIdempotentRequest("k", "two"));
    CHECK(other.outcome == Outcome::notRun);
    CHECK(other.status == 422);
    CHECK_FALSE(other.retryAfter);
}

// Guards against a non-idempotent request that runs without a way to recognise its retry.
TEST_CASE("a non-idempotent request without a key is refused")
{
    TestCluster cluster { 1, 1 };
    CHECK(cluster.execute(0, nonIdempotentRequest("")).status == 400);
}

// Guards against a request that runs without a claim while the table is down.
TEST_CASE("table down before the claim: not run, with a retry time")
{
    TestCluster cluster { 1, 1 };
    cluster.entries[0]->faults.down = true;
    const auto answer = cluster.execute(0, nonIdempotentRequest("k"));
    CHECK(answer.outcome == Outcome::notRun);
    CHECK(answer.status == 503);
    CHECK(answer.retryAfter);
    CHECK(runsOf(cluster, "k") == 0);
}

// Guards against an answer that is delayed or lost because its row cannot be written.
TEST_CASE("table down after the dispatch: answered promptly, row completed later")
{
    TestCluster cluster { 1, 1 };
    TestCluster::Answers answers;
    cluster.submit(0, nonIdempotentRequest("k"), answers);
    while (runsOf(cluster, "k") == 0)
        cluster.step();
    cluster.entries[0]->faults.down = true;
    const auto start = cluster.timing.now();
    while (answers.empty())
        cluster.step();
    CHECK(answers.at(0).answer.outcome == Outcome::done);
    CHECK(answers.at(0).at - start < 200ms);
    CHECK(cluster.entries[0]->path.pendingCompletions() == 1);
    cluster.entries[0]->faults.down = false;
    cluster.run();
    CHECK(rowOf(cluster, "k").state == ClaimState::done);
    CHECK(cluster.entries[0]->path.pendingCompletions() == 0);
}

// Guards against a duplicate run after the dispatch's reply was lost.
TEST_CASE("a lost reply is fetched from the agent of the recorded incarnation")
{
    TestCluster cluster { 2, 2 };
    cluster.agents.state().faults = { Fault::replyLost };
    const auto answer = cluster.execute(0, nonIdempotentRequest("k"));
    CHECK(answer.outcome == Outcome::done);
    CHECK(runsOf(cluster, "k") == 1);
    CHECK(rowOf(cluster, "k").state == ClaimState::done);
}

// Guards against a request that stays unknown indefinitely although it never reached its agent.
TEST_CASE("a dropped frame is proved not run and the request is sent elsewhere")
{
    TestCluster cluster { 1, 2 };
    cluster.agents.state().faults = { Fault::dropped };
    CHECK(cluster.execute(0, nonIdempotentRequest("k")).outcome == Outcome::done);
    CHECK(runsOf(cluster, "k") == 1);
}

// Guards against a second run when the first frame arrives after the inquiry to the agent.
TEST_CASE("a late frame is refused after its tombstone")
{
    TestCluster cluster { 1, 2 };
    cluster.agents.state().faults = { Fault::late };
    CHECK(cluster.execute(0, nonIdempotentRequest("k")).outcome == Outcome::done);
    CHECK(runsOf(cluster, "k") == 1);
}

// Guards against a restarted agent whose empty ledger is taken as proof that the request did not run.
TEST_CASE("agent restarted after the dispatch: outcome unknown, also for retries")
{
    TestCluster cluster { 2, 1 };
    cluster.agents.state().runTime = 1s;
    TestCluster::Answers answers;
    cluster.submit(0, nonIdempotentRequest("k"), answers);
    while (runsOf(cluster, "k") == 0)
        cluster.step();
    cluster.restart(0);
    cluster.run();
    CHECK(answers.at(0).answer.outcome == Outcome::unknown);
    CHECK(answers.at(0).answer.retryAfter);
    CHECK(cluster.execute(1, nonIdempotentRequest("k")).outcome == Outcome::unknown);
    CHECK(runsOf(cluster, "k") == 1);
}

// Guards against a client that waits beyond its deadline, and against a false "not run" for a running request.
TEST_CASE("a request that outlasts its deadline is unknown, and its retry returns the answer")
{
    TestCluster cluster { 1, 1 };
    cluster.agents.state().faults = { Fault::slow };
    auto request = nonIdempotentRequest("k");
    request.timeout = 1s;
    TestCluster::Answers answers;
    cluster.submit(0, request, answers);
    while (answers.empty())
        cluster.step();
    CHECK(answers.at(0).answer.outcome == Outcome::unknown);
    CHECK(answers.at(0).at == TimePoint { 1s });
    CHECK(cluster.execute(0, request).outcome == Outcome::unknown);
    cluster.run();
    CHECK(cluster.execute(0, request).outcome == Outcome::done);
    CHECK(runsOf(cluster, "k") == 1);
}

// Guards against a request that is sent after its client received the answer "not run".
TEST_CASE("a request whose deadline passes before its dispatch is recorded is never sent")
{
    TestCluster cluster { 1, 1 };
    auto request = nonIdempotentRequest("k");
    request.timeout = 1ms;
    CHECK(cluster.execute(0, request).outcome == Outcome::notRun);
    cluster.run();
    CHECK(cluster.entries[0]->metrics.counter("requests_dispatched_total").value() == 0);
    CHECK(rowOf(cluster, "k").state == ClaimState::claimed);
}

// Guards against a claim that blocks its key after its entry failed before the dispatch.
TEST_CASE("a claim that was never dispatched is taken over")
{
    TestCluster cluster { 1, 1 };
    ClaimRow row;
    row.digest = bodyDigestOf("body");
    CHECK(cluster.rows.commit({ {}, { { "claim/w/k", encodeClaim(row) } } }).committed);
    CHECK(cluster.execute(0, nonIdempotentRequest("k")).outcome == Outcome::done);
}

// Guards against a row that stays dispatched after every executor refused the request.
TEST_CASE("executors refuse: not run, and the row is claimed again for the next retry")
{
    TestCluster cluster { 1, 1 };
    cluster.agents.state().faults = { Fault::refused };
    const auto answer = cluster.execute(0, nonIdempotentRequest("k"));
    CHECK(answer.outcome == Outcome::notRun);
    CHECK(answer.retryAfter);
    CHECK(rowOf(cluster, "k").state == ClaimState::claimed);
    CHECK(cluster.execute(0, nonIdempotentRequest("k")).outcome == Outcome::done);
    CHECK(runsOf(cluster, "k") == 1);
}

// Guards against forwarding an answer that belongs to another request.
TEST_CASE("a reply with another request number is not used")
{
    TestCluster cluster { 1, 1 };
    cluster.agents.state().faults = { Fault::corrupted };
    ClientRequest request;
    request.body = "b";
    CHECK(cluster.execute(0, request).outcome == Outcome::unknown);
    CHECK(cluster.entries[0]->metrics.counter("replies_mismatched_total").value() == 1);
}

// Guards against an answer that is truncated because it does not fit into its row.
TEST_CASE("a retry fetches an answer too large for its row from the agent")
{
    TestCluster cluster { 1, 1 };
    const auto request = nonIdempotentRequest("k", std::string(100000, 'x'));
    const auto first = cluster.execute(0, request);
    CHECK(first.outcome == Outcome::done);
    CHECK(cluster.execute(0, request).body == first.body);
    cluster.restart(0);
    const auto later = cluster.execute(0, request);
    CHECK(later.outcome == Outcome::unknown);
    CHECK(later.status == 410);
}
