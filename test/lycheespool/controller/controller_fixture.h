#pragma once

#include "lycheespool/controller/controller.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace lycheespool {

/*! @brief A controller that the test drives directly. */
class ControllerFixture {
public:
    ControllerFixture()
        : controller { ControllerSettings {}, Epoch { 1 }, at(0).steady, metrics }
    {
        controller.setConfig(std::make_shared<const OperatorConfig>());
    }

    static ClockReading at(std::int64_t ms) { return { TimePoint { std::chrono::milliseconds { ms } }, ms }; }

    static JobRow job(std::uint32_t tasks = 1, bool isGang = false)
    {
        JobRow row;
        row.queue = "queue";
        row.policy = { "service", 1, 2, 3.0, 1000 };
        StepSpec step;
        step.tasks = tasks;
        step.isGang = isGang;
        step.perTask = { 1000, 1000, 1 };
        step.estimatedMs = 2000;
        row.request.steps.push_back(step);
        return row;
    }

    NodeReport report(std::int64_t ms, const std::string& node = "node-0") const
    {
        NodeReport report;
        report.node = node;
        report.zone = "zone-a";
        report.state = ExecutorState::ready;
        report.lifetime = { "executor of " + node, 1 };
        report.service = "service";
        report.labels = { "a", "rack-0" };
        report.capacity = { 64000, 131072, 8 };
        report.sentAtMs = static_cast<std::uint64_t>(ms);
        report.listedAtMs = static_cast<std::uint64_t>(ms);
        return report;
    }

    void receive(const NodeReport& it, std::int64_t ms)
    {
        controller.onReport(it, at(ms));
        (void)controller.grantPermit(it, at(ms).steady);
    }

    void storeAll()
    {
        for (const auto& it : controller.pendingWrites(100))
            controller.markStored(it, ++version);
    }

    /*! @brief Plans and stores; returns the orders, which must include some for a node. */
    std::map<std::string, NodeOrders> ordersFor(const std::string& node, std::int64_t ms)
    {
        (void)controller.plan(at(ms));
        storeAll();
        auto orders = controller.takeOrders(at(ms));
        REQUIRE(orders.contains(node));
        return orders;
    }

    void confirm(const std::string& node, const NodeOrders& orders, std::int64_t ms)
    {
        for (const auto& it : orders.orders)
            controller.onOutcome(node, orders.lifetime,
                { it.task, it.run, RunOrderResult::started, {}, static_cast<std::uint64_t>(ms) }, at(ms));
    }

    /*! @brief Reports that an executor has crashed and is back; the node then takes no part in later rounds. */
    void crash(const NodeReport& before, std::int64_t lostMs, std::int64_t returnMs)
    {
        auto returned = report(returnMs, before.node);
        returned.lifetime.startedUnixMs = before.lifetime.startedUnixMs + 1;
        returned.previousLifetime = before.lifetime;
        returned.previousLostAtMs = static_cast<std::uint64_t>(lostMs);
        receive(returned, returnMs);
        returned.state = ExecutorState::draining;
        receive(returned, returnMs + 1);
        storeAll();
    }

    /*! @brief Submits a job of one task and returns its started run. */
    RunningTask startOne(std::int64_t ms)
    {
        controller.addJob("job", job(), {}, 0, at(ms).steady);
        receive(report(ms), ms);
        (void)controller.plan(at(ms));
        storeAll();
        const auto orders = controller.takeOrders(at(ms)).at("node-0");
        const auto& order = orders.orders.at(0);
        controller.onOutcome("node-0", orders.lifetime,
            { order.task, order.run, RunOrderResult::started, {}, static_cast<std::uint64_t>(ms + 5) }, at(ms + 5));
        return { order.task, order.run, {}, 0 };
    }

    Metrics metrics;
    Controller controller;
    std::uint64_t version { 0 };
};

}
