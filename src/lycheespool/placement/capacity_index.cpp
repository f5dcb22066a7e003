#include "lycheespool/placement/capacity_index.h"

#include <algorithm>

namespace lycheespool {

namespace {

bool isUnavailable(const SignedResources& capacity)
{
    return capacity.cores < 0 || capacity.memoryMiB < 0 || capacity.accelerators < 0;
}

void appendOffers(const Topology::Rack& rack, const GangShape& shape, const CapacityIndex::CapacityOf& capacityOf,
    Placement& offers, std::uint32_t& total)
{
    for (const auto worker : rack.workers) {
        const auto tasks = capacityOf(worker).countTasks(shape.perTask, maxOfferTasks);
        if (tasks > 0)
            offers.push_back({ worker, tasks, noIndex });
        total += tasks;
    }
}

}

void CapacityIndex::Sum::add(const SignedResources& capacity, int sign)
{
    cores += std::int64_t { sign } * capacity.cores;
    memoryMiB += std::int64_t { sign } * capacity.memoryMiB;
    accelerators += std::int64_t { sign } * capacity.accelerators;
    const auto level = static_cast<std::size_t>(capacity.accelerators);
    if (workersByAccelerators.size() <= level)
        workersByAccelerators.resize(level + 1);
    workersByAccelerators[level] += static_cast<std::uint32_t>(sign);
}

std::uint64_t CapacityIndex::Sum::tasksAtMost(const GangShape& shape) const
{
    std::uint64_t n = shape.tasks;
    if (shape.perTask.cores > 0)
        n = std::min<std::uint64_t>(n, static_cast<std::uint64_t>(cores / shape.perTask.cores));
    if (shape.perTask.memoryMiB > 0)
        n = std::min<std::uint64_t>(n, static_cast<std::uint64_t>(memoryMiB / shape.perTask.memoryMiB));
    const auto need = static_cast<std::size_t>(shape.perTask.accelerators);
    if (need == 0)
        return n;
    std::uint64_t tasks = 0;
    for (auto level = need; level < workersByAccelerators.size() && tasks < n; ++level)
        tasks += workersByAccelerators[level] * (level / need);
    return std::min(n, tasks);
}

bool CapacityIndex::Sum::hasWorkerWith(std::int32_t wanted) const
{
    const auto level = static_cast<std::size_t>(wanted);
    return level < workersByAccelerators.size()
        && std::any_of(
            workersByAccelerators.begin() + wanted, workersByAccelerators.end(), [](auto n) { return n > 0; });
}

void CapacityIndex::set(const Topology& topology, Index worker, const SignedResources& capacity)
{
    if (worker >= m_capacities.size())
        m_capacities.resize(topology.workers().size(), SignedResources::unavailable());
    m_racks.resize(topology.racks().size());
    m_zones.resize(topology.zones().size());
    if (m_capacities[worker] == capacity)
        return;
    addToSums(topology, worker, m_capacities[worker], -1);
    m_capacities[worker] = capacity;
    addToSums(topology, worker, capacity, 1);
}

void CapacityIndex::addToSums(const Topology& topology, Index worker, const SignedResources& capacity, int sign)
{
    if (isUnavailable(capacity))
        return;
    const auto rack = topology.worker(worker).rack;
    auto& zone = m_zones[topology.racks()[rack].zone];
    zone.racksByAccelerators.erase({ m_racks[rack].accelerators, rack });
    m_racks[rack].add(capacity, sign);
    zone.sum.add(capacity, sign);
    zone.racksByAccelerators.emplace(m_racks[rack].accelerators, rack);
}

SignedResources CapacityIndex::capacity(Index worker) const
{
    return worker < m_capacities.size() ? m_capacities[worker] : SignedResources::unavailable();
}

Placement CapacityIndex::find(const Topology& topology, const GangShape& shape) const
{
    return find(
        topology, shape, [](Index) { return true; }, [this](Index worker) { return capacity(worker); });
}

Placement CapacityIndex::find(
    const Topology& topology, const GangShape& shape, const ZoneFilter& zoneFilter, const CapacityOf& capacityOf) const
{
    for (const auto zone : zonesInOrder(topology, shape, zoneFilter)) {
        auto placement = findInOneRack(topology, zone, shape, capacityOf);
        if (placement.empty() && shape.adjacency == Adjacency::zone)
            placement = findAcrossRacks(topology, zone, shape, capacityOf);
        if (!placement.empty())
            return placement;
    }
    return {};
}

std::vector<Index> CapacityIndex::zonesInOrder(
    const Topology& topology, const GangShape& shape, const ZoneFilter& zoneFilter) const
{
    std::vector<Index> zones;
    for (Index zone = 0; zone < m_zones.size(); ++zone) {
        if (zoneFilter(zone) && m_zones[zone].sum.tasksAtMost(shape) >= shape.tasks)
            zones.push_back(zone);
    }
    std::ranges::sort(zones, [&](Index left, Index right) {
        const auto a = m_zones[left].sum.accelerators;
        const auto b = m_zones[right].sum.accelerators;
        return a != b ? a < b : topology.zones()[left].id < topology.zones()[right].id;
    });
    return zones;
}

Placement CapacityIndex::findInOneRack(
    const Topology& topology, Index zone, const GangShape& shape, const CapacityOf& capacityOf) const
{
    const auto total = std::int64_t { shape.perTask.accelerators } * shape.tasks;
    const auto& racks = m_zones[zone].racksByAccelerators;
    for (auto it = racks.lower_bound({ total, 0 }); it != racks.end(); ++it) {
        const auto& sum = m_racks[it->second];
        if (sum.tasksAtMost(shape) < shape.tasks)
            continue;
        if (shape.adjacency == Adjacency::worker && !sum.hasWorkerWith(static_cast<std::int32_t>(total)))
            continue;
        auto placement = findInRack(topology, it->second, shape, capacityOf);
        if (!placement.empty())
            return placement;
    }
    return {};
}

Placement CapacityIndex::findInRack(
    const Topology& topology, Index rack, const GangShape& shape, const CapacityOf& capacityOf) const
{
    Placement offers;
    std::uint32_t total = 0;
    appendOffers(topology.racks()[rack], shape, capacityOf, offers, total);
    if (shape.adjacency == Adjacency::worker)
        std::erase_if(offers, [&](const Share& offer) { return offer.tasks < shape.tasks; });
    return packBestFit(std::move(offers), shape.tasks);
}

Placement CapacityIndex::findAcrossRacks(
    const Topology& topology, Index zone, const GangShape& shape, const CapacityOf& capacityOf) const
{
    Placement offers;
    std::uint32_t total = 0;
    const auto& racks = m_zones[zone].racksByAccelerators;
    for (auto it = racks.rbegin(); it != racks.rend() && total < shape.tasks; ++it)
        appendOffers(topology.racks()[it->second], shape, capacityOf, offers, total);
    return packBestFit(std::move(offers), shape.tasks);
}

}
