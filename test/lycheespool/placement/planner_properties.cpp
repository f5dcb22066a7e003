#include "cluster_model.h"

#include <doctest/doctest.h>
#include <functional>
#include <random>

using namespace lycheespool;

namespace {

using namespace std::chrono_literals;

// Claims all guaranteed cells of every workspace in `mask` at the same time, in a copy of the cluster, and checks that
// all claims start.
template <typename Policy>
void claimAllCells(ClusterModel<Policy> cluster, unsigned mask, Guarantees guarantees)
{
    const auto claims = [&](const WorkspaceId& id) { return (mask >> (id.value().back() - '0') & 1U) == 1; };
    for (const auto& id : cluster.idsWhere([&](const auto& job) { return claims(job.spec.workspace); }))
        cluster.cancel(id);
    unsigned number = 0;
    for (const auto& [workspace, cells] : guarantees) {
        for (const auto& cell : cells) {
            for (unsigned it = 0; claims(workspace) && it < cell.count; ++it) {
                const JobId id { "claim" + std::to_string(number++) };
                cluster.submit({ id, workspace, cell.tasks, cell.perTask, cell.adjacency, 1h, Urgency::urgent, "" });
            }
        }
    }
    for (int it = 0; it < 30; ++it) {
        cluster.plan();
        cluster.releaseEvicted();
        cluster.advance(1s);
    }
    const auto unclaimed = cluster.idsWhere(
        [](const auto& job) { return job.spec.id.value().starts_with("claim") && job.workers.empty(); });
    RC_LOG() << "cells that could not be claimed: " << unclaimed.size();
    RC_ASSERT(unclaimed.empty());
}

template <typename Policy>
void runAndClaim(const std::vector<Event>& sequence, unsigned mask)
{
    ClusterModel<Policy> cluster;
    for (const auto& event : sequence)
        cluster.step(event);
    cluster.releaseEvicted();
    if constexpr (requires { cluster.policy().shortfalls(); }) {
        if (!cluster.policy().shortfalls().empty())
            return;
    }
    claimAllCells(cluster, mask, cluster.guarantees());
}

// Rebuilds a planner from the state of the model, in an order that depends on the seed.
Planner rebuild(const ClusterModel<Planner>& cluster, unsigned seed)
{
    Planner planner;
    std::vector<std::function<void()>> steps;
    const auto now = cluster.now();
    for (const auto& worker : cluster.workers()) {
        if (cluster.present().contains(worker.id))
            steps.emplace_back([&planner, worker, now] { planner.workerJoined(worker, now); });
    }
    for (const auto& zone : cluster.zonesOutOfService())
        steps.emplace_back([&planner, zone, now] { planner.setZoneOutOfService(zone, true, now); });
    for (const auto& [id, job] : cluster.jobs()) {
        if (job.workers.empty())
            steps.emplace_back([&planner, spec = job.spec, now] { planner.submit(spec, now); });
        else
            steps.emplace_back([&planner, it = job, now] { planner.adopt(it.spec, it.workers, now); });
    }
    steps.emplace_back([&planner, &cluster, now] { planner.setGuarantees(cluster.guarantees(), now); });
    std::mt19937 random(seed);
    std::ranges::shuffle(steps, random);
    for (const auto& step : steps)
        step();
    return planner;
}

// Reduces the jobs to the state that a rebuild restores.
std::vector<JobStatus> restorableState(std::vector<JobStatus> jobs)
{
    for (auto& it : jobs) {
        if (it.state == PlacementState::claiming) {
            it.state = PlacementState::waiting;
            it.workers.clear();
        }
        std::ranges::sort(it.workers);
        it.guaranteed = false;
    }
    return jobs;
}

}

// Guards against partial gangs, oversubscribed workers, starts in a zone out of service, lost or duplicated jobs,
// evicted guaranteed work, and guarantees that cannot be claimed at once.
TEST_CASE("every step keeps gangs whole, workers within capacity and guarantees reclaimable")
{
    CHECK(rc::check([] {
        const auto sequence = *events();
        RC_CLASSIFY(sequence.size() > 100);
        runAndClaim<Planner>(sequence, *rc::gen::inRange(1U, 8U));
    }));
}

// Guards against a new leader whose jobs, placements or free capacity differ from those of its predecessor.
TEST_CASE("a planner rebuilt in any order has the state of the one before")
{
    CHECK(rc::check([] {
        ClusterModel<Planner> cluster;
        for (const auto& event : *events())
            cluster.step(event);
        cluster.releaseEvicted();
        auto rebuilt = rebuild(cluster, *rc::gen::inRange(0U, 1000U));
        RC_ASSERT(restorableState(rebuilt.jobs()) == restorableState(cluster.policy().jobs()));
        // Which of several cells lacks a placement depends on history; whether any does, does not. Failures of workers
        // are not stored, so a new leader does not quarantine the workers that its predecessor quarantined.
        RC_ASSERT(!cluster.policy().quarantined().empty()
            || rebuilt.shortfalls().empty() == cluster.policy().shortfalls().empty());
        for (const auto& worker : cluster.workers())
            RC_ASSERT(rebuilt.freeCapacity(worker.id) == cluster.policy().freeCapacity(worker.id));
    }));
}

// Guards against starvation of a large job by small ones: the head of the queue starts within the aging limit.
TEST_CASE("the large job at the head of the queue starts within the aging limit")
{
    CHECK(rc::check([] {
        ClusterModel<Planner> cluster;
        const auto sizes = *rc::gen::container<std::vector<unsigned>>(40, rc::gen::inRange(0U, 20U));
        for (const auto size : sizes)
            cluster.step({ Event::Kind::submit, 0, size });
        for (const auto& id : cluster.idsWhere([](const auto& job) { return job.workers.empty(); }))
            cluster.cancel(id);
        const JobId large { "large" };
        cluster.submit({ large, WorkspaceId { "s0" }, 4, { 4, 1000, 8 }, Adjacency::zone, 1h, Urgency::normal, "" });
        for (const auto begin = cluster.now(); cluster.now() - begin <= agingLimit; cluster.advance(2min)) {
            cluster.step({ Event::Kind::submit, 0, *rc::gen::inRange(0U, 20U) });
            if (*rc::gen::inRange(0, 3) == 0)
                cluster.step({ Event::Kind::finish, *rc::gen::inRange(0U, 1000U), 0 });
            cluster.releaseEvicted();
        }
        cluster.plan();
        cluster.releaseEvicted();
        cluster.plan();
        const auto found = cluster.jobs().find(large);
        RC_ASSERT(found == cluster.jobs().end() || !found->second.workers.empty());
    }));
}
