#include "lycheespool/controller/decision_policy.h"

#include "lycheespool/core/error.h"

#include <doctest/doctest.h>

using namespace lycheespool;

namespace {

std::string failureOf(const std::string& text)
{
    try {
        (void)parseDecisionPolicy(text, "policy.toml");
    } catch (const Error& error) {
        const bool isInvalidSetting = error.kind() == ErrorKind::invalidSetting;
        CHECK(isInvalidSetting);
        return error.what();
    }
    return {};
}

}

TEST_CASE("keys that are absent keep their defaults")
{
    const auto policy = parseDecisionPolicy("[preemption]\nslack_ms = 250\n[queue]\norders_by_slack = false\n", "test");
    const DecisionPolicy defaults;
    CHECK(policy.preemption.slackMs == 250);
    CHECK_FALSE(policy.ordersBySlack);
    CHECK(policy.preemption.budget == defaults.preemption.budget);
    CHECK(policy.placement.maxReservations == defaults.placement.maxReservations);
    CHECK(policy.movesFromDepartingNodes);
}

// Guards against a misspelt key or a wrong unit that silently keeps the default.
TEST_CASE("a wrong policy is refused with the key, the value and what is allowed")
{
    CHECK(failureOf("[preemption]\nslak_ms = 250\n").find("unknown key preemption.slak_ms = 250") != std::string::npos);
    CHECK(failureOf("[premption]\nslack_ms = 1\n").find("'premption'") != std::string::npos);
    CHECK(failureOf("slack_ms = 1\n").find("'slack_ms'") != std::string::npos);
    CHECK(failureOf("[preemption]\nslack_ms = -1\n").find("preemption.slack_ms = -1") != std::string::npos);
    CHECK(failureOf("[preemption]\nslack_ms = -1\n").find("a number from 0 to 60000") != std::string::npos);
    CHECK(failureOf("[preemption]\nslack_ms = nan\n").find("preemption.slack_ms") != std::string::npos);
    CHECK(failureOf("[preemption]\nslack_ms = true\n").find("preemption.slack_ms = true") != std::string::npos);
    CHECK(
        failureOf("[placement]\nmax_reservations = 2.5\n").find("a whole number from 0 to 1000") != std::string::npos);
    CHECK(failureOf("[preemption]\nenabled = 1\n").find("true or false") != std::string::npos);
    CHECK(failureOf("[preemption\n").find("line 1") != std::string::npos);
}

TEST_CASE("a policy file that cannot be read is an error and not an empty policy")
{
    CHECK_THROWS_AS((void)readDecisionPolicy("/nonexistent/policy.toml"), Error);
}

TEST_CASE("every key is listed with its range and default")
{
    const auto text = describeDecisionPolicy();
    CHECK(text.find("preemption.slack_ms") != std::string::npos);
    CHECK(text.find("a number from 0 to 60000, default 1000") != std::string::npos);
    CHECK(text.find("queue.orders_by_slack") != std::string::npos);
}
