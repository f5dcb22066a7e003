#include "lycheespool/entry/leader_report.h"

#include <nlohmann/json.hpp>

namespace lycheespool {

using nlohmann::json;

namespace {

const char* nameOf(Adjacency adjacency)
{
    switch (adjacency) {
    case Adjacency::worker:
        return "worker";
    case Adjacency::rack:
        return "rack";
    case Adjacency::zone:
        return "zone";
    }
    return "zone";
}

json describe(const Shortfall& shortfall)
{
    return {
        { "workspace", shortfall.workspace.value() },
        { "cells", shortfall.cell.count },
        { "adjacency", nameOf(shortfall.cell.adjacency) },
        { "tasks", shortfall.cell.tasks },
        { "acceleratorsPerTask", shortfall.cell.perTask.accelerators },
    };
}

json countJobs(const Planner& planner)
{
    std::size_t waiting = 0;
    std::size_t placed = 0;
    std::size_t borrowed = 0;
    for (const auto& it : planner.jobs()) {
        if (it.workers.empty())
            ++waiting;
        else if (it.guaranteed)
            ++placed;
        else
            ++borrowed;
    }
    return { { "waiting", waiting }, { "insideGuarantee", placed }, { "borrowed", borrowed } };
}

}

std::string leaderReportKey(const std::string& domain) { return "report/scheduler/" + domain; }

std::string describeLeader(Planner& planner, const EntryId& leader, Epoch epoch)
{
    auto shortfalls = json::array();
    for (const auto& it : planner.shortfalls())
        shortfalls.push_back(describe(it));
    auto quarantined = json::array();
    for (const auto& it : planner.quarantined())
        quarantined.push_back(it.value());
    return json {
        { "leader", leader.value() },
        { "epoch", epoch.value() },
        { "shortfalls", shortfalls },
        { "quarantined", quarantined },
        { "jobs", countJobs(planner) },
        { "fragmentation", planner.fragmentation() },
    }
        .dump();
}

}
