#include "lycheespool/placement/topology.h"

namespace lycheespool {

Index Topology::workerIndex(const WorkerId& id)
{
    const auto [it, inserted] = m_workerIndex.try_emplace(id, static_cast<Index>(m_workers.size()));
    if (!inserted)
        return it->second;
    if (m_unused.empty()) {
        m_workers.emplace_back();
    } else {
        it->second = m_unused.back();
        m_unused.pop_back();
    }
    m_workers[it->second] = Worker { id, noIndex, {}, false };
    return it->second;
}

Index Topology::find(const WorkerId& id) const
{
    const auto it = m_workerIndex.find(id);
    return it == m_workerIndex.end() ? noIndex : it->second;
}

Index Topology::zoneIndex(const ZoneId& id)
{
    const auto [it, inserted] = m_zoneIndex.try_emplace(id, static_cast<Index>(m_zones.size()));
    if (inserted)
        m_zones.push_back({ id, {}, false });
    return it->second;
}

Index Topology::rackIndex(const ZoneId& zone, const RackId& rack)
{
    const auto zoneAt = zoneIndex(zone);
    const auto [it, inserted] = m_rackIndex.try_emplace({ zoneAt, rack }, static_cast<Index>(m_racks.size()));
    if (inserted) {
        m_racks.push_back({ rack, zoneAt, {} });
        m_zones[zoneAt].racks.push_back(it->second);
    }
    return it->second;
}

Index Topology::registerWorker(const WorkerSpec& spec)
{
    const auto index = workerIndex(spec.id);
    const auto rack = rackIndex(spec.zone, spec.rack);
    auto& worker = m_workers[index];
    if (worker.rack != rack) {
        leaveRack(index);
        worker.rack = rack;
        m_racks[rack].workers.push_back(index);
    }
    worker.capacity = SignedResources::of(spec.capacity);
    worker.present = true;
    return index;
}

void Topology::remove(Index worker)
{
    leaveRack(worker);
    m_workerIndex.erase(m_workers[worker].id);
    m_workers[worker] = {};
    m_unused.push_back(worker);
}

Index Topology::zoneOf(Index worker) const
{
    const auto rack = m_workers[worker].rack;
    return rack == noIndex ? noIndex : m_racks[rack].zone;
}

void Topology::leaveRack(Index worker)
{
    if (m_workers[worker].rack != noIndex)
        std::erase(m_racks[m_workers[worker].rack].workers, worker);
    m_workers[worker].rack = noIndex;
}

}
