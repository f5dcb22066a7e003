#include "cluster.h"
#include "lycheespool/request/retry_budget.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

ClientRequest idempotentRequest(const std::string& body = "b")
{
    ClientRequest request;
    request.body = body;
    return request;
}

unsigned withdrawAll(RetryBudget& budget)
{
    unsigned n = 0;
    while (budget.withdraw())
        ++n;
    return n;
}

}

// Guards against retries beyond 10% of the requests, and against a budget that grows without bound while nothing fails.
TEST_CASE("the budget allows retries of a tenth of the requests and a bounded reserve")
{
    RetryBudget budget;
    (void)withdrawAll(budget);
    for (int i = 0; i < 200; ++i)
        budget.deposit();
    CHECK(withdrawAll(budget) == 20);
    for (int i = 0; i < 1000000; ++i)
        budget.deposit();
    CHECK(withdrawAll(budget) == RetryBudget::maxRetries);
}

// Guards against an idempotent request that fails with its first executor although others have free slots.
TEST_CASE("an idempotent request is retried on another executor")
{
    for (const auto fault : { Fault::notSent, Fault::refused, Fault::replyLost, Fault::dropped }) {
        TestCluster cluster { 1, 2 };
        cluster.agents.state().faults = { fault };
        CHECK(cluster.execute(0, idempotentRequest()).outcome == Outcome::done);
        const auto& ranOn = cluster.agents.state().ranOn;
        CHECK((ranOn.size() < 2 || ranOn[0] != ranOn[1]));
    }
}

// Guards against "not run" for a request with a dispatch that may have run.
TEST_CASE("after a lost reply and a refusal the outcome is unknown")
{
    TestCluster cluster { 1, 2 };
    cluster.agents.state().faults = { Fault::replyLost, Fault::refused };
    CHECK(cluster.execute(0, idempotentRequest()).outcome == Outcome::unknown);
    cluster.agents.state().faults = { Fault::refused, Fault::refused };
    const auto answer = cluster.execute(0, idempotentRequest());
    CHECK(answer.outcome == Outcome::notRun);
    CHECK(answer.retryAfter);
}

// Guards against retries that multiply the load when all executors fail.
TEST_CASE("when all executors fail, retries stay within the budget")
{
    TestCluster cluster { 1, 6 };
    cluster.agents.state().faults.assign(10000, Fault::refused);
    for (int i = 0; i < 300; ++i)
        CHECK(cluster.execute(0, idempotentRequest()).outcome == Outcome::notRun);
    CHECK(cluster.entries[0]->metrics.counter("requests_retried_total").value() <= 10 + 300 / 10);
    CHECK(cluster.entries[0]->metrics.counter("retry_budget_exhausted_total").value() > 0);
}

// Guards against an answer after the deadline.
TEST_CASE("retries stop at the deadline")
{
    TestCluster cluster { 1, 3 };
    cluster.agents.state().faults.assign(3, Fault::slow);
    auto request = idempotentRequest();
    request.timeout = 1s;
    TestCluster::Answers answers;
    cluster.submit(0, request, answers);
    while (answers.empty())
        cluster.step();
    CHECK(answers.at(0).answer.outcome == Outcome::unknown);
    CHECK(answers.at(0).at == TimePoint { 1s });
}
