#include "lycheespool/request/power_of_two.h"
#include "lycheespool/request/round_robin.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <map>
#include <random>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

using Policy = PowerOfTwo<std::minstd_rand>;

struct Fixture {
    explicit Fixture(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            join(i);
        now += 1min;
        refreshHeartbeats();
    }

    void join(std::size_t index)
    {
        Hello hello;
        hello.agent = AgentId { fmt::format("agent-{}", index) };
        hello.incarnation = Incarnation { index };
        hello.zone = ZoneId { index % 2 == 0 ? "near" : "far" };
        hello.slots = 8;
        membership.join(hello, nullptr, now);
    }

    void refreshHeartbeats()
    {
        for (const auto& it : nodes())
            it->lastHeartbeatAt = now.time_since_epoch().count();
    }

    const Membership::Nodes& nodes()
    {
        snapshot = membership.nodes().load();
        return *snapshot;
    }

    ExecutorNodePtr choose()
    {
        const RoutingContext context { zone, zonesOut, excluded, now };
        return policy.choose(nodes(), context);
    }

    std::map<AgentId, unsigned> countChoices(unsigned count)
    {
        std::map<AgentId, unsigned> result;
        for (unsigned i = 0; i < count; ++i) {
            if (const auto node = choose())
                ++result[node->agent];
        }
        return result;
    }

    void finish(ExecutorNode& node, Outcome outcome, Duration elapsed = 1ms)
    {
        CallResult result;
        result.outcome = outcome;
        result.status = 200;
        policy.recordResult(nodes(), node, result, elapsed, now);
    }

    std::size_t countEjected()
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(nodes(), [&](const auto& it) { return it->health.isEjected(now); }));
    }

    TimePoint now {};
    Membership membership;
    Published<Membership::Nodes>::Snapshot snapshot;
    ZoneId zone { "near" };
    ZoneSet zonesOut;
    ExcludedNodes excluded;
    Policy policy;
};

}

// Guards against new work for an executor that drains, is silent, busy or excluded, or is in a zone out of service.
TEST_CASE("only eligible executors are chosen")
{
    Fixture it { 6 };
    it.nodes()[0]->draining = true;
    it.nodes()[1]->lastHeartbeatAt = (it.now - Membership::heartbeatTimeout).time_since_epoch().count();
    it.nodes()[2]->inFlight = 8;
    it.excluded.emplace_back(AgentId { "agent-3" }, Incarnation { 3 });
    const auto chosen = it.countChoices(200);
    CHECK(chosen.size() == 2);
    CHECK(chosen.contains(AgentId { "agent-4" }));
    CHECK(chosen.contains(AgentId { "agent-5" }));
    it.zonesOut.insert(ZoneId { "near" });
    CHECK(it.countChoices(200).size() == 1);
    it.zonesOut.insert(ZoneId { "far" });
    CHECK_FALSE(it.choose());
    RoundRobin baseline;
    CHECK_FALSE(baseline.choose(it.nodes(), { it.zone, it.zonesOut, it.excluded, it.now }));
}

// Guards against counting slots that other entries use as free.
TEST_CASE("slots in use by other entries are not free")
{
    Fixture it { 1 };
    Heartbeat heartbeat;
    heartbeat.slotsFree = 0;
    it.membership.recordHeartbeat(AgentId { "agent-0" }, heartbeat, it.now);
    CHECK_FALSE(it.choose());
    heartbeat.slotsFree = 1;
    it.membership.recordHeartbeat(AgentId { "agent-0" }, heartbeat, it.now);
    CHECK(it.choose());
}

// Guards against equal shares for a slower executor or one in another zone.
TEST_CASE("executors that are faster or in the entry's zone are preferred")
{
    Fixture it { 2 };
    CHECK(it.countChoices(100)[AgentId { "agent-0" }] == 100);
    for (int i = 0; i < 20; ++i) {
        it.finish(*it.nodes()[0], Outcome::done, 3ms);
        it.finish(*it.nodes()[1], Outcome::done, 1ms);
    }
    CHECK(it.countChoices(100)[AgentId { "agent-1" }] == 100);
}

// Guards against an executor that fails immediately and therefore attracts all requests.
TEST_CASE("a failing executor is ejected and then starts slowly")
{
    Fixture it { 4 };
    auto& bad = *it.nodes()[0];
    for (int i = 0; i < 5; ++i)
        it.finish(bad, Outcome::notRun, 1us);
    CHECK(bad.health.isEjected(it.now));
    CHECK_FALSE(it.countChoices(200).contains(bad.agent));
    it.now += 5s;
    it.refreshHeartbeats();
    CHECK_FALSE(bad.health.isEjected(it.now));
    CHECK(it.policy.usableSlots(bad, it.now) == 1);
    it.now += NodeHealth::slowStartTime / 2;
    CHECK(it.policy.usableSlots(bad, it.now) == 4);
    it.now += NodeHealth::slowStartTime;
    CHECK(it.policy.usableSlots(bad, it.now) == 8);
}

// Guards against a slow executor that keeps its share of the slots.
TEST_CASE("an executor that is much slower than the median is ejected")
{
    Fixture it { 5 };
    for (int i = 0; i < 40; ++i) {
        for (const auto& node : it.nodes())
            it.finish(*node, Outcome::done, node == it.nodes().front() ? 10ms : 1ms);
    }
    CHECK(it.nodes().front()->health.isEjected(it.now));
    CHECK(it.countEjected() == 1);
}

// Guards against a cold executor that joins a running system and receives its full share of work.
TEST_CASE("an executor that joins established ones starts slowly")
{
    Fixture it { 3 };
    it.join(1);
    CHECK(it.policy.usableSlots(*it.nodes().back(), it.now) == 1);
    Fixture fresh { 0 };
    fresh.join(0);
    fresh.join(1);
    CHECK(fresh.policy.usableSlots(*fresh.nodes().back(), fresh.now) == 8);
}

// Guards against ejecting so many executors that the rest are overloaded or none is left.
TEST_CASE("at most a third of the executors are ejected, whatever fails")
{
    CHECK(rc::check([](const std::vector<std::pair<std::uint8_t, bool>>& calls) {
        const auto count = *rc::gen::inRange<std::size_t>(1, 12);
        Fixture it { count };
        for (const auto& [index, success] : calls) {
            it.now += 10ms;
            it.refreshHeartbeats();
            auto& node = *it.nodes()[index % count];
            for (int i = 0; i < 5; ++i)
                it.finish(node, success ? Outcome::done : Outcome::unknown);
            RC_ASSERT(it.countEjected() * 3 <= count);
            RC_ASSERT(it.choose());
        }
    }));
}
