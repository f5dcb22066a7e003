#include "lycheespool/gateway/access_control.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

constexpr ConfigBounds bounds { 2s, 5s };

/*! @brief State of the operators with an age that the test sets. */
struct FakeSource {
    OperatorState operatorState;
    Duration configAge {};
    bool isStoreUnreachable { false };

    [[nodiscard]] const OperatorState& state() const { return operatorState; }
    [[nodiscard]] Duration age(TimePoint) const { return configAge; }
    [[nodiscard]] bool isUnreachable() const { return isStoreUnreachable; }
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

    [[nodiscard]] AccessDecision decide(
        std::string_view path = "/p/", std::string_view key = "key", ConfigUse least = ConfigUse::full)
    {
        return access.check("host", path, key, least).access.decision;
    }

    FakeSource source;
    Metrics metrics;
    AccessControl<FakeSource> access { source, bounds, metrics };
};

}

// Guards against keys and queues that were removed and still work at an entry that does not know it (CONFIG).
TEST_CASE("a config that was not confirmed within the bound neither allows nor denies")
{
    Fixture f;
    f.source.configAge = bounds.apply;
    CHECK(f.decide() == AccessDecision::allowed);
    CHECK(f.decide("/other/") == AccessDecision::noQueue);
    CHECK(f.decide("/p/", "wrong") == AccessDecision::unknownKey);
    f.source.configAge = bounds.apply + 1ms;
    CHECK(f.decide() == AccessDecision::undecided);
    CHECK(f.decide("/other/") == AccessDecision::undecided);
    CHECK(f.decide("/p/", "wrong") == AccessDecision::undecided);
    CHECK(f.access.configUse() == ConfigUse::none);
}

// Guards against refusals of all calls in an outage of the store that is shorter than its bound.
TEST_CASE("during an outage an older config allows calls that no other entry serves, and denies none")
{
    Fixture f;
    f.source.configAge = bounds.apply + bounds.outage;
    CHECK(f.decide("/p/", "key", ConfigUse::outage) == AccessDecision::undecided);
    f.source.isStoreUnreachable = true;
    CHECK(f.decide() == AccessDecision::undecided);
    CHECK(f.decide("/p/", "key", ConfigUse::outage) == AccessDecision::allowed);
    CHECK(f.decide("/other/", "key", ConfigUse::outage) == AccessDecision::undecided);
    f.access.onVersionSeen(6);
    CHECK(f.decide("/p/", "key", ConfigUse::outage) == AccessDecision::undecided);
}

// Guards against keys that were removed and still work throughout a long outage (CONFIG).
TEST_CASE("an outage that is longer than its bound ends the use of a config")
{
    Fixture f;
    f.source.isStoreUnreachable = true;
    f.source.configAge = bounds.apply + bounds.outage + 1ms;
    CHECK(f.decide("/p/", "key", ConfigUse::outage) == AccessDecision::undecided);
    CHECK(f.access.configUse() == ConfigUse::none);
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
    CHECK(f.access.configUse() == ConfigUse::none);
}
