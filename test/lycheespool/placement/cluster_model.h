#pragma once

#include "lycheespool/placement/planner.h"

#include <algorithm>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief One random event; the numbers select among the existing jobs, workers, zones or shapes. */
struct Event {
    enum class Kind { submit, finish, fail, cancel, release, lose, join, zoneOut, zoneIn, guarantee, checkpoint, wait };

    Kind kind { Kind::submit };
    unsigned which { 0 };
    unsigned shape { 0 };
};

inline std::ostream& operator<<(std::ostream& os, const Event& event)
{
    return os << static_cast<int>(event.kind) << ':' << event.which << ':' << event.shape;
}

inline rc::Gen<std::vector<Event>> events()
{
    using enum Event::Kind;
    const auto kind = rc::gen::weightedElement<Event::Kind>(
        { { 12, submit }, { 4, finish }, { 1, fail }, { 2, cancel }, { 6, release }, { 1, lose }, { 2, join },
            { 1, zoneOut }, { 2, zoneIn }, { 1, guarantee }, { 1, checkpoint }, { 4, wait } });
    const auto number = rc::gen::inRange(0U, 10000U);
    return rc::gen::scale(3.0, rc::gen::container<std::vector<Event>>(rc::gen::construct<Event>(kind, number, number)));
}

/**
 * @brief Reference model of a small cluster that executes the decisions of the policy under test and checks invariants
 * after each step.
 * @tparam Policy The policy.
 */
template <typename Policy>
class ClusterModel {
public:
    struct Job {
        JobSpec spec;
        Assignment workers;
        bool evicting { false };
        TimePoint queuedAt;
    };

    ClusterModel()
    {
        for (unsigned it = 0; it < 12; ++it) {
            const WorkerSpec worker { WorkerId { "w" + std::to_string(it) }, ZoneId { "z" + std::to_string(it / 4) },
                RackId { "r" + std::to_string(it / 2 % 2) }, { 60, 128000, 8 } };
            m_workers.push_back(worker);
            m_present.insert(worker.id);
            m_policy.workerJoined(worker, m_now);
        }
    }

    void step(const Event& event)
    {
        using Kind = Event::Kind;
        // Only a change of the capacity or the guarantees may move cells in use and so make guaranteed work evictable.
        m_cellsChanged
            = std::set { Kind::lose, Kind::join, Kind::zoneOut, Kind::zoneIn, Kind::guarantee }.contains(event.kind);
        apply(event);
        plan();
    }

    void plan()
    {
        m_started.clear();
        const auto before = guaranteedJobs();
        for (const auto& decision : m_policy.plan(m_now))
            std::visit([&](const auto& it) { execute(it, before); }, decision);
        checkCapacity();
        checkJobs();
        checkCells();
    }

    void submit(const JobSpec& spec)
    {
        m_jobs.emplace(spec.id, Job { spec, {}, false, m_now });
        m_policy.submit(spec, m_now);
    }

    void cancel(const JobId& id)
    {
        m_jobs.erase(id);
        m_policy.cancel(id, m_now);
    }

    void release(const JobId& id)
    {
        auto& job = m_jobs.at(id);
        job.workers.clear();
        job.evicting = false;
        m_policy.released(id, m_now);
    }

    void releaseEvicted()
    {
        for (const auto& id : idsWhere([](const Job& job) { return job.evicting; }))
            release(id);
    }

    template <typename Wanted>
    std::vector<JobId> idsWhere(const Wanted& wanted) const
    {
        std::vector<JobId> ids;
        for (const auto& [id, job] : m_jobs) {
            if (wanted(job))
                ids.push_back(id);
        }
        return ids;
    }

    void advance(Duration step) { m_now += step; }
    Policy& policy() { return m_policy; }
    const Guarantees& guarantees() const { return m_guarantees; }
    const std::map<JobId, Job>& jobs() const { return m_jobs; }
    const std::vector<WorkerSpec>& workers() const { return m_workers; }
    const std::set<WorkerId>& present() const { return m_present; }
    const std::set<ZoneId>& zonesOutOfService() const { return m_zonesOutOfService; }
    const std::set<JobId>& failed() const { return m_failed; }
    TimePoint now() const { return m_now; }

    static JobSpec makeJob(unsigned number, unsigned shape)
    {
        static constexpr std::uint32_t accelerators[] { 1, 2, 4, 8, 0 };
        JobSpec spec;
        spec.id = JobId { "j" + std::to_string(number) };
        spec.workspace = WorkspaceId { "s" + std::to_string(number % 3) };
        spec.tasks = 1U << (shape % 4);
        spec.perTask = { 4, 1000, accelerators[shape / 4 % 5] };
        spec.adjacency = static_cast<Adjacency>(shape / 20 % 3);
        spec.urgency = static_cast<Urgency>(shape / 60 % 3);
        spec.declaredRunTime = std::chrono::minutes { 1 + shape / 180 % 50 };
        return spec;
    }

private:
    static const Guarantees& guaranteesOf(unsigned which)
    {
        const auto cell
            = [](Adjacency adjacency, std::uint32_t count, std::uint32_t accelerators, std::uint32_t tasks) {
                  return GuaranteedCell { adjacency, count, { 4, 1000, accelerators }, tasks };
              };
        using enum Adjacency;
        const WorkspaceId s0 { "s0" };
        const WorkspaceId s1 { "s1" };
        const WorkspaceId s2 { "s2" };
        static const std::vector<Guarantees> all { {},
            { { s0, { cell(zone, 1, 8, 4) } }, { s1, { cell(rack, 2, 4, 4) } } },
            { { s0, { cell(worker, 3, 2, 4) } }, { s1, { cell(zone, 2, 4, 4) } }, { s2, { cell(rack, 1, 8, 2) } } },
            { { s1, { cell(worker, 6, 1, 4) } }, { s2, { cell(zone, 1, 2, 8), cell(rack, 2, 8, 1) } } } };
        return all[which % all.size()];
    }

    void apply(const Event& event)
    {
        using Kind = Event::Kind;
        const auto running = idsWhere([](const Job& job) { return !job.workers.empty(); });
        const auto evicting = idsWhere([](const Job& job) { return job.evicting; });
        const auto all = idsWhere([](const Job&) { return true; });
        const auto pick = [&](const std::vector<JobId>& ids) { return ids[event.which % ids.size()]; };
        const auto& worker = m_workers[event.which % m_workers.size()];
        if (event.kind == Kind::submit && m_jobs.size() < 60)
            submit(makeJob(m_nextJob++, event.shape));
        if (event.kind == Kind::finish && !running.empty())
            finish(pick(running));
        if (event.kind == Kind::fail && !running.empty())
            fail(pick(running), event.shape);
        if (event.kind == Kind::cancel && !all.empty())
            cancel(pick(all));
        if (event.kind == Kind::release && !evicting.empty())
            release(pick(evicting));
        if (event.kind == Kind::lose)
            lose(worker);
        if (event.kind == Kind::join && m_present.insert(worker.id).second)
            m_policy.workerJoined(worker, m_now);
        if (event.kind == Kind::zoneOut && m_zonesOutOfService.insert(worker.zone).second)
            m_policy.setZoneOutOfService(worker.zone, true, m_now);
        if (event.kind == Kind::zoneIn && m_zonesOutOfService.erase(worker.zone)) {
            m_zoneReturned[worker.zone] = m_now;
            m_policy.setZoneOutOfService(worker.zone, false, m_now);
        }
        if (event.kind == Kind::wait)
            m_now += std::chrono::seconds { event.which % 600 };
        if (event.kind == Kind::guarantee)
            m_guarantees = guaranteesOf(event.which);
        if constexpr (hasGuarantees) {
            if (event.kind == Kind::guarantee)
                m_policy.setGuarantees(m_guarantees, m_now);
            if (event.kind == Kind::checkpoint && !running.empty())
                m_policy.checkpointed(pick(running), m_now);
        }
    }

    void finish(const JobId& id)
    {
        m_jobs.erase(id);
        m_policy.finished(id, m_now);
    }

    void fail(const JobId& id, unsigned which)
    {
        const auto& workers = m_jobs.at(id).workers;
        m_policy.taskFailed(id, workers[which % workers.size()], m_now);
        release(id);
    }

    void lose(const WorkerSpec& worker)
    {
        if (!m_present.erase(worker.id))
            return;
        m_policy.workerLost(worker.id, m_now);
        for (const auto& id : idsWhere([&](const Job& job) { return std::ranges::count(job.workers, worker.id) > 0; }))
            release(id);
    }

    const WorkerSpec& spec(const WorkerId& id) const { return *std::ranges::find(m_workers, id, &WorkerSpec::id); }

    const ZoneId& zoneOf(const Job& job) const { return spec(job.workers.front()).zone; }

    void checkAdjacent(const Assignment& workers, Adjacency adjacency) const
    {
        for (const auto& id : workers) {
            const auto& first = spec(workers.front());
            const auto& other = spec(id);
            RC_ASSERT(first.zone == other.zone);
            RC_ASSERT(adjacency == Adjacency::zone || first.rack == other.rack);
            RC_ASSERT(adjacency != Adjacency::worker || first.id == other.id);
        }
    }

    void checkInService(const Assignment& workers) const
    {
        for (const auto& id : workers) {
            RC_ASSERT(m_present.contains(id));
            RC_ASSERT(!m_zonesOutOfService.contains(spec(id).zone));
        }
    }

    void execute(const StartGang& start, const std::set<JobId>&)
    {
        auto& job = m_jobs.at(start.job);
        RC_ASSERT(job.workers.empty());
        RC_ASSERT(start.workers.size() == job.spec.tasks);
        checkAdjacent(start.workers, job.spec.adjacency);
        checkInService(start.workers);
        job.workers = start.workers;
        m_started.push_back(start.job);
    }

    void execute(const EvictGang& evict, const std::set<JobId>& guaranteed)
    {
        auto& job = m_jobs.at(evict.job);
        RC_ASSERT(!job.workers.empty());
        RC_ASSERT(!job.evicting);
        RC_ASSERT(!guaranteed.contains(evict.job) || m_cellsChanged || m_zonesOutOfService.contains(zoneOf(job)));
        job.evicting = true;
    }

    void execute(const FailJob& fail, const std::set<JobId>&)
    {
        RC_ASSERT(m_jobs.at(fail.job).workers.empty());
        RC_ASSERT(!fail.reason.empty());
        RC_ASSERT(fail.reason.starts_with("failed on") || !fitsEmptyCluster(m_jobs.at(fail.job).spec));
        m_jobs.erase(fail.job);
        m_failed.insert(fail.job);
    }

    // A claim is held only while a gang evicted from its workers has not stopped, or while its zone's starts are
    // limited after its return.
    bool waitsForEvicted(const Assignment& placement) const
    {
        const auto returned = m_zoneReturned.find(spec(placement.front()).zone);
        if (returned != m_zoneReturned.end() && m_now - returned->second < startLimitTime)
            return true;
        return std::ranges::any_of(m_jobs, [&](const auto& it) {
            const auto shares = [&](const WorkerId& id) { return std::ranges::count(it.second.workers, id) > 0; };
            return it.second.evicting && std::ranges::any_of(placement, shares);
        });
    }

    bool fitsEmptyCluster(const JobSpec& job) const
    {
        std::map<std::string, std::uint32_t> tasks;
        for (const auto& worker : m_workers) {
            if (!m_present.contains(worker.id))
                continue;
            auto group = worker.zone.value();
            if (job.adjacency != Adjacency::zone)
                group += worker.rack.value();
            if (job.adjacency == Adjacency::worker)
                group += worker.id.value();
            for (auto capacity = worker.capacity; job.perTask.fitsInto(capacity); capacity -= job.perTask)
                ++tasks[group];
        }
        return std::ranges::any_of(tasks, [&](const auto& it) { return it.second >= job.tasks; });
    }

    std::set<JobId> guaranteedJobs() const
    {
        std::set<JobId> ids;
        if constexpr (hasGuarantees) {
            for (const auto& status : m_policy.jobs()) {
                if (status.guaranteed)
                    ids.insert(status.job);
            }
        }
        return ids;
    }

    void checkCapacity() const
    {
        std::map<WorkerId, Resources> used;
        for (const auto& [id, job] : m_jobs) {
            for (const auto& worker : job.workers)
                used[worker] += job.spec.perTask;
        }
        for (const auto& [id, sum] : used)
            RC_ASSERT(sum.fitsInto(spec(id).capacity));
    }

    void checkJobs() const
    {
        if constexpr (hasGuarantees) {
            const auto known = m_policy.jobs();
            RC_ASSERT(known.size() == m_jobs.size());
            for (const auto& status : known) {
                const auto& job = m_jobs.at(status.job);
                const auto running
                    = status.state == PlacementState::running || status.state == PlacementState::evicting;
                RC_ASSERT(running == !job.workers.empty());
                RC_ASSERT((status.state == PlacementState::evicting) == job.evicting);
                const auto held = status.state == PlacementState::claiming;
                RC_ASSERT(held == (held && waitsForEvicted(status.workers)));
            }
        }
    }

    // Checks the mapping that the planner reports against its definition only. A valid mapping proves that evicting
    // only borrowed work frees every guarantee at the same time.
    void checkCells()
    {
        if constexpr (hasGuarantees) {
            std::map<WorkerId, Resources> cells;
            std::map<std::pair<WorkspaceId, WorkerId>, Resources> byWorkspace;
            std::size_t placed = 0;
            for (const auto& bound : m_policy.boundCells()) {
                checkAdjacent(bound.workers, bound.cell.adjacency);
                checkInService(bound.workers);
                RC_ASSERT(bound.workers.empty() || bound.workers.size() == bound.cell.tasks);
                placed += bound.workers.empty() ? 0 : 1;
                for (const auto& worker : bound.workers) {
                    cells[worker] += bound.cell.perTask;
                    byWorkspace[{ bound.workspace, worker }] += bound.cell.perTask;
                }
            }
            for (const auto& [id, sum] : cells)
                RC_ASSERT(sum.fitsInto(spec(id).capacity));
            checkCharges(byWorkspace);
            checkShortfalls(placed);
        }
    }

    void checkCharges(const std::map<std::pair<WorkspaceId, WorkerId>, Resources>& cells) const
    {
        std::map<std::pair<WorkspaceId, WorkerId>, Resources> charged;
        for (const auto& status : m_policy.jobs()) {
            if (status.guaranteed) {
                for (const auto& worker : status.workers)
                    charged[{ status.workspace, worker }] += m_jobs.at(status.job).spec.perTask;
            }
        }
        for (const auto& [key, sum] : charged)
            RC_ASSERT(cells.contains(key) && sum.fitsInto(cells.at(key)));
    }

    void checkShortfalls(std::size_t placed)
    {
        std::size_t wanted = 0;
        for (const auto& [workspace, cells] : m_guarantees) {
            for (const auto& cell : cells)
                wanted += cell.count;
        }
        for (const auto& shortfall : m_policy.shortfalls())
            wanted -= shortfall.cell.count;
        RC_ASSERT(placed == wanted);
        if (m_present.size() == m_workers.size() && m_zonesOutOfService.empty())
            RC_ASSERT(m_policy.shortfalls().empty());
    }

    static constexpr bool hasGuarantees = requires(Policy & policy) { policy.boundCells(); };

    Policy m_policy;
    TimePoint m_now {};
    std::vector<WorkerSpec> m_workers;
    std::set<WorkerId> m_present;
    std::set<ZoneId> m_zonesOutOfService;
    std::map<ZoneId, TimePoint> m_zoneReturned;
    Guarantees m_guarantees;
    std::map<JobId, Job> m_jobs;
    std::set<JobId> m_failed;
    std::vector<JobId> m_started;
    unsigned m_nextJob { 0 };
    bool m_cellsChanged { false };
};

}
