#pragma once

#include "lycheespool/placement/cell_allocations.h"
#include "lycheespool/placement/explanation.h"
#include "lycheespool/placement/job_status.h"
#include "lycheespool/placement/name_table.h"
#include "lycheespool/placement/placement_policy.h"
#include "lycheespool/placement/planner_job.h"
#include "lycheespool/placement/refused_shape.h"
#include "lycheespool/placement/reservation.h"
#include "lycheespool/placement/run_time_estimates.h"
#include "lycheespool/placement/worker_health.h"
#include "lycheespool/placement/zone_drain.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lycheespool {

/**
 * @brief Places gangs as a whole by adjacency and keeps every guarantee reclaimable; see docs/placement.md for the
 * policy.
 *
 * Only plan() makes decisions; the other functions record events. A planner has value semantics: a copy can
 * simulate what would happen.
 */
class Planner {
public:
    /*! @copydoc PlacementPolicy */
    void submit(const JobSpec& spec, TimePoint now);
    void adopt(const JobSpec& spec, const Assignment& workers, TimePoint now);
    void cancel(const JobId& job, TimePoint now);
    void finished(const JobId& job, TimePoint now);
    void released(const JobId& job, TimePoint now);
    void taskFailed(const JobId& job, const WorkerId& worker, TimePoint now);
    void workerJoined(const WorkerSpec& worker, TimePoint now);
    void workerLost(const WorkerId& worker, TimePoint now);
    void setZoneOutOfService(const ZoneId& zone, bool outOfService, TimePoint now);
    [[nodiscard]] Decisions plan(TimePoint now);

    /**
     * @brief Replaces all guarantees.
     * @param guarantees The guaranteed shapes by workspace.
     * @param now The current time.
     * @throws Error of kind invalidArgument when a cell has no tasks or more than maxGangTasks.
     */
    void setGuarantees(const Guarantees& guarantees, TimePoint now);

    /**
     * @brief Records a checkpoint of a gang.
     * @param job The job.
     * @param now The time of the checkpoint.
     */
    void checkpointed(const JobId& job, TimePoint now);

    /**
     * @brief Lists the guaranteed cells that the current capacity cannot hold.
     * @return The cells in the order of the guarantees; empty when every guarantee can be claimed.
     */
    [[nodiscard]] std::vector<Shortfall> shortfalls();

    /**
     * @brief Lists every guaranteed cell with the workers that it is mapped to.
     * @return The cells in the order of the guarantees.
     */
    [[nodiscard]] std::vector<BoundCell> boundCells();

    /**
     * @brief Lists the state of all jobs.
     * @return The jobs in the order of their ids.
     */
    [[nodiscard]] std::vector<JobStatus> jobs() const;

    /**
     * @brief Lists the workers that receive no tasks, or a single probe task, because tasks failed there.
     * @return The workers in no particular order.
     */
    [[nodiscard]] std::vector<WorkerId> quarantined() const;

    /**
     * @brief Explains why a job waits and what reclaiming its guarantee would cost.
     * @param job The job.
     * @param now The current time.
     * @return The explanation, or std::nullopt for an unknown job.
     */
    [[nodiscard]] std::optional<Explanation> explain(const JobId& job, TimePoint now) const;

    /**
     * @brief Measures the fragmentation of the free capacity.
     * @return Share of the free accelerators in service that no guaranteed or waiting shape can use, 0 to 1.
     */
    [[nodiscard]] double fragmentation() const;

    /**
     * @brief Returns the free capacity of a worker.
     * @param worker The worker.
     * @return Capacity that running gangs do not use, or std::nullopt for an unknown or lost worker.
     */
    [[nodiscard]] std::optional<Resources> freeCapacity(const WorkerId& worker) const;

private:
    struct WorkerLoad {
        SignedResources used;
        SignedResources claimed;
        std::vector<Index> jobs;
    };

    // Bounds the time of one eviction search among thousands of workers; more placements hardly reduce the loss.
    static constexpr std::size_t maxPlacementsCompared = 64;

    using Victims = std::vector<Index>;
    using CanEvict = std::function<bool(const PlannerJob& job)>;

    struct Eviction {
        Placement placement;
        Victims victims;
    };

    // Job records and queue membership.
    [[nodiscard]] Index findJob(const JobId& job) const;
    [[nodiscard]] Index makeJob(const JobSpec& spec, TimePoint now);
    void removeJob(Index job);
    void enqueue(Index job);
    void dequeue(Index job);

    // Capacity.
    [[nodiscard]] bool matchesSpec(Index worker, const WorkerSpec& spec) const;
    [[nodiscard]] bool isSchedulable(Index worker) const;
    [[nodiscard]] bool isInService(Index worker) const;
    [[nodiscard]] SignedResources available(Index worker) const;
    void updateFreeCapacity(Index worker);
    void updateWorker(Index worker);
    void markAbsent(Index worker);
    [[nodiscard]] bool zoneAllowsStarts(Index zone) const;
    [[nodiscard]] SignedResources placeableCapacity(Index worker) const;

    // Placements of jobs.
    void occupy(Index job, Placement placement, PlacementState state);
    void vacate(Index job);
    void charge(Index job, Placement charged);
    void demote(Index job);
    void startJob(Index job, Placement placement, TimePoint now);
    [[nodiscard]] Assignment assignmentFrom(const Placement& placement) const;
    [[nodiscard]] Placement placementFrom(const Assignment& workers);

    // Guarantees.
    void remapCells();
    void bindUnplacedCells();
    void rearrangeCells();
    [[nodiscard]] CellAllocations rearranged(bool onlyIdle) const;
    void replaceCellAllocations(CellAllocations allocations);
    void unbindCell(Index cell);
    void demoteJobsIn(Index cell);
    void chargePlacedJobs(Index workspace);
    [[nodiscard]] Placement placementOfMatchingJob(const CellAllocations::Cell& cell) const;
    [[nodiscard]] bool cellCanHold(const GangShape& shape, const PlannerJob& job) const;
    [[nodiscard]] Placement findUnreserved(const GangShape& shape) const;
    [[nodiscard]] std::vector<Index> placedJobsOf(Index workspace, const std::vector<Index>& workers) const;

    // Starts.
    void startClaims(TimePoint now);
    void startClaim(Index job, TimePoint now);
    [[nodiscard]] bool claimCanStart(const PlannerJob& job) const;
    void placeWaiting(TimePoint now);
    [[nodiscard]] bool tryPlace(Index job, TimePoint now);
    [[nodiscard]] std::vector<Placement> placementsInOneCell(const PlannerJob& job) const;
    [[nodiscard]] std::vector<Placement> placementsAcrossCells(const PlannerJob& job) const;
    [[nodiscard]] bool startInGuarantee(Index job, TimePoint now);
    [[nodiscard]] bool moveCellToCheaperPlacement(const Eviction& eviction, const GangShape& inside, TimePoint now);
    [[nodiscard]] bool startByMovingCell(Index job, TimePoint now);
    [[nodiscard]] bool moveCell(Index cell, Placement target, const GangShape& inside);
    [[nodiscard]] Placement placementInside(Index cell, const Placement& target, const GangShape& shape) const;
    [[nodiscard]] bool startBorrowed(Index job, TimePoint now);

    // Queue.
    [[nodiscard]] bool startReserved(Index job, TimePoint now);
    [[nodiscard]] bool preempt(Index job, TimePoint now);
    void reserveFor(Index job, TimePoint now);
    [[nodiscard]] Reservation findReservation(Index job, TimePoint now, bool avoidCells) const;
    void dropStaleReservation();
    [[nodiscard]] bool blockedByReservation(Index worker, Index job, TimePoint now) const;
    [[nodiscard]] bool reserved(Index worker) const;
    [[nodiscard]] Duration estimate(const PlannerJob& job) const;
    [[nodiscard]] std::vector<std::pair<TimePoint, Index>> estimatedEnds(TimePoint now) const;
    [[nodiscard]] std::vector<Index> workersInGroupOf(const Placement& placement, Adjacency adjacency) const;
    [[nodiscard]] std::vector<Index> schedulableWorkers() const;

    // Zone drains and faults.
    void drainZones(TimePoint now);
    void drainZone(Index zone, TimePoint now);
    [[nodiscard]] std::vector<Index> gangsIn(Index zone) const;
    void recordSuccess(const PlannerJob& job);
    void advanceHealth(TimePoint now);
    void placeProbes(TimePoint now);
    void failImpossibleJobs(TimePoint now);
    void expireLostWorkers(TimePoint now);
    [[nodiscard]] std::string failureReason(Index job, bool workersKnown) const;

    // Explanations.
    void explainWaiting(Index job, TimePoint now, Explanation& found) const;
    void addEvictingJobs(Index worker, std::vector<JobId>& names) const;

    // Evictions.
    [[nodiscard]] std::optional<Eviction> cheapestEviction(const std::vector<Placement>& placements,
        const SignedResources& perTask, TimePoint now, const CanEvict& canEvict) const;
    [[nodiscard]] std::optional<Victims> victimsFor(
        const Placement& placement, const SignedResources& perTask, TimePoint now, const CanEvict& canEvict) const;
    [[nodiscard]] SignedResources usedBy(const PlannerJob& job, Index worker) const;
    [[nodiscard]] double lossOf(const Victims& victims, TimePoint now) const;
    void evict(Index job, const std::string& reason);
    void claim(Index job, Placement placement, const Victims& victims, const std::string& reason, TimePoint now);
    void cancelClaim(Index job);

    Topology m_topology;
    std::vector<WorkerLoad> m_loads;
    CapacityIndex m_free;
    CellAllocations m_cellAllocations;

    std::unordered_map<JobId, Index> m_jobIndex;
    std::vector<PlannerJob> m_jobs;
    std::vector<Index> m_unusedJobs;
    NameTable<WorkspaceId> m_workspaces;
    NameTable<std::string> m_kinds;
    std::set<std::pair<TimePoint, Index>> m_queue;
    std::set<Index> m_claims;
    Reservation m_reservation;
    RunTimeEstimates m_estimates;
    std::map<Index, ZoneStartLimiter> m_startLimiters;
    std::map<Index, WorkerHealth> m_health;
    std::unordered_map<Index, std::vector<Index>> m_failedOn;
    std::set<Index> m_unchecked;
    CapacityIndex m_capacity;
    std::deque<std::pair<TimePoint, Index>> m_lost;
    std::unordered_map<Index, TimePoint> m_lostAt;
    std::optional<TimePoint> m_firstPlan;
    std::optional<TimePoint> m_reservationTriedAt;
    TimePoint m_now;
    std::vector<std::vector<Index>> m_placed;

    bool m_cellsOutdated { false };
    Decisions m_decisions;
};

static_assert(PlacementPolicy<Planner>);

}
