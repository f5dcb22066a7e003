#include "lycheespool/gateway/access_control.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

constexpr Duration maxAge = 2s;

/*! @brief State of the operators with an age that the test sets. */
struct FakeSource {
    OperatorState operatorState;
    Duration configAge {};

    [[nodiscard]] const OperatorState& state() const { return operatorState; }
    [[nodiscard]] Duration age(TimePoint) const { return configAge; }
};

/*! @brief Version 5 with one queue and one key. */
struct Fixture {
    Fixture()
    {
        OperatorConfig config;
        config.version = 5;
        config.queues.push_back({ "queue", "host", "/p/", {}, false });
        config.workspaces.push_back({ "workspace", { "key" }, 0 });
        source.operatorState.config = std::make_shared<const OperatorConfig>(std::move(config));
    }

    [[nodiscard]] AccessDecision decide(std::string_view path = "/p/", std::string_view key = "key")
    {
        return access.check("host", path, key).access.decision;
    }

    FakeSource source;
    Metrics metrics;
    AccessControl<FakeSource> access { source, maxAge, metrics };
};

}

// Guards against keys and queues that were removed and still work at an entry that does not know it (CONFIG).
TEST_CASE("a config that was not confirmed within the bound neither allows nor denies")
{
    Fixture f;
    f.source.configAge = maxAge;
    CHECK(f.decide() == AccessDecision::allowed);
    CHECK(f.decide("/other/") == AccessDecision::noQueue);
    CHECK(f.decide("/p/", "wrong") == AccessDecision::unknownKey);
    f.source.configAge = maxAge + 1ms;
    CHECK(f.decide() == AccessDecision::undecided);
    CHECK(f.decide("/other/") == AccessDecision::undecided);
    CHECK(f.decide("/p/", "wrong") == AccessDecision::undecided);
    CHECK_FALSE(f.access.isCurrent());
}

// Guards against a return to an older version after another entry has answered by a newer one (CONFIG).
TEST_CASE("a config decides nothing once a newer version has been seen")
{
    Fixture f;
    f.access.onVersionSeen(5);
    CHECK(f.decide() == AccessDecision::allowed);
    f.access.onVersionSeen(6);
    f.access.onVersionSeen(5);
    CHECK(f.decide() == AccessDecision::undecided);
    CHECK(f.access.newestVersion() == 6);
}

// Guards against denials of what a stored config that cannot be decoded admits.
TEST_CASE("the config before an unreadable one still allows, but denies nothing")
{
    Fixture f;
    f.source.operatorState.isConfigUnreadable = true;
    CHECK(f.decide() == AccessDecision::allowed);
    CHECK(f.decide("/other/") == AccessDecision::undecided);
}

TEST_CASE("without a config nothing is decided")
{
    Fixture f;
    f.source.operatorState.config = nullptr;
    CHECK(f.decide() == AccessDecision::undecided);
    CHECK_FALSE(f.access.isCurrent());
}
