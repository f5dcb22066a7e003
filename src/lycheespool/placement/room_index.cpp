#include "lycheespool/placement/room_index.h"

#include <algorithm>

namespace lycheespool {

namespace {

bool isNone(const Amount& room) { return room.cores < 0 || room.memoryMiB < 0 || room.accelerators < 0; }

void appendOffers(const Topology::Rack& rack, const GangShape& shape, const RoomIndex::RoomOf& roomOf,
    Placement& offers, std::uint32_t& total)
{
    for (const auto worker : rack.workers) {
        const auto tasks = roomOf(worker).tasks(shape.perTask, offerLimit);
        if (tasks > 0)
            offers.push_back({ worker, tasks, noIndex });
        total += tasks;
    }
}

}

void RoomIndex::Sum::add(const Amount& room, int sign)
{
    cores += std::int64_t { sign } * room.cores;
    memoryMiB += std::int64_t { sign } * room.memoryMiB;
    accelerators += std::int64_t { sign } * room.accelerators;
    const auto level = static_cast<std::size_t>(room.accelerators);
    if (workersByAccelerators.size() <= level)
        workersByAccelerators.resize(level + 1);
    workersByAccelerators[level] += static_cast<std::uint32_t>(sign);
}

std::uint64_t RoomIndex::Sum::tasksAtMost(const GangShape& shape) const
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

bool RoomIndex::Sum::hasWorkerWith(std::int32_t wanted) const
{
    const auto level = static_cast<std::size_t>(wanted);
    return level < workersByAccelerators.size()
        && std::any_of(
            workersByAccelerators.begin() + wanted, workersByAccelerators.end(), [](auto n) { return n > 0; });
}

void RoomIndex::set(const Topology& topology, Index worker, const Amount& room)
{
    if (worker >= m_rooms.size())
        m_rooms.resize(topology.workers().size(), Amount::none());
    m_racks.resize(topology.racks().size());
    m_zones.resize(topology.zones().size());
    if (m_rooms[worker] == room)
        return;
    account(topology, worker, m_rooms[worker], -1);
    m_rooms[worker] = room;
    account(topology, worker, room, 1);
}

void RoomIndex::account(const Topology& topology, Index worker, const Amount& room, int sign)
{
    if (isNone(room))
        return;
    const auto rack = topology.worker(worker).rack;
    auto& zone = m_zones[topology.racks()[rack].zone];
    zone.racksByAccelerators.erase({ m_racks[rack].accelerators, rack });
    m_racks[rack].add(room, sign);
    zone.sum.add(room, sign);
    zone.racksByAccelerators.emplace(m_racks[rack].accelerators, rack);
}

Amount RoomIndex::room(Index worker) const { return worker < m_rooms.size() ? m_rooms[worker] : Amount::none(); }

Placement RoomIndex::find(const Topology& topology, const GangShape& shape) const
{
    return find(
        topology, shape, [](Index) { return true; }, [this](Index worker) { return room(worker); });
}

Placement RoomIndex::find(
    const Topology& topology, const GangShape& shape, const ZoneFilter& zoneAllowed, const RoomOf& roomOf) const
{
    for (const auto zone : zonesInOrder(topology, shape, zoneAllowed)) {
        auto place = findInOneRack(topology, zone, shape, roomOf);
        if (place.empty() && shape.adjacency == Adjacency::zone)
            place = findAcrossRacks(topology, zone, shape, roomOf);
        if (!place.empty())
            return place;
    }
    return {};
}

std::vector<Index> RoomIndex::zonesInOrder(
    const Topology& topology, const GangShape& shape, const ZoneFilter& zoneAllowed) const
{
    std::vector<Index> zones;
    for (Index zone = 0; zone < m_zones.size(); ++zone) {
        if (zoneAllowed(zone) && m_zones[zone].sum.tasksAtMost(shape) >= shape.tasks)
            zones.push_back(zone);
    }
    std::ranges::sort(zones, [&](Index left, Index right) {
        const auto a = m_zones[left].sum.accelerators;
        const auto b = m_zones[right].sum.accelerators;
        return a != b ? a < b : topology.zones()[left].id < topology.zones()[right].id;
    });
    return zones;
}

Placement RoomIndex::findInOneRack(
    const Topology& topology, Index zone, const GangShape& shape, const RoomOf& roomOf) const
{
    const auto total = std::int64_t { shape.perTask.accelerators } * shape.tasks;
    const auto& racks = m_zones[zone].racksByAccelerators;
    for (auto it = racks.lower_bound({ total, 0 }); it != racks.end(); ++it) {
        const auto& sum = m_racks[it->second];
        if (sum.tasksAtMost(shape) < shape.tasks)
            continue;
        if (shape.adjacency == Adjacency::worker && !sum.hasWorkerWith(static_cast<std::int32_t>(total)))
            continue;
        auto place = findInRack(topology, it->second, shape, roomOf);
        if (!place.empty())
            return place;
    }
    return {};
}

Placement RoomIndex::findInRack(
    const Topology& topology, Index rack, const GangShape& shape, const RoomOf& roomOf) const
{
    Placement offers;
    std::uint32_t total = 0;
    appendOffers(topology.racks()[rack], shape, roomOf, offers, total);
    if (shape.adjacency == Adjacency::worker)
        std::erase_if(offers, [&](const Share& offer) { return offer.tasks < shape.tasks; });
    return packTightly(std::move(offers), shape.tasks);
}

Placement RoomIndex::findAcrossRacks(
    const Topology& topology, Index zone, const GangShape& shape, const RoomOf& roomOf) const
{
    Placement offers;
    std::uint32_t total = 0;
    const auto& racks = m_zones[zone].racksByAccelerators;
    for (auto it = racks.rbegin(); it != racks.rend() && total < shape.tasks; ++it)
        appendOffers(topology.racks()[it->second], shape, roomOf, offers, total);
    return packTightly(std::move(offers), shape.tasks);
}

}
