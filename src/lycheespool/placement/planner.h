#pragma once

#include "lycheespool/placement/cell_book.h"
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
 * @brief Places whole gangs close together and keeps every guarantee reclaimable; docs/placement.md has the policy.
 *
 * Decisions are made by plan() only; the other functions record what happened. A planner is a value: a copy can be
 * asked what would happen.
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
    void setZoneOutOfService(const ZoneId& zone, bool out, TimePoint now);
    [[nodiscard]] Decisions plan(TimePoint now);

    /**
     * @brief Replaces all guarantees.
     * @param guarantees The guaranteed shapes by workspace.
     * @param now The present time.
     * @throws Error of kind invalidArgument when a cell has no tasks or more than maxGangTasks.
     */
    void setGuarantees(const Guarantees& guarantees, TimePoint now);

    /**
     * @brief Records that a gang's work up to now is saved.
     * @param job The job.
     * @param now The time of the checkpoint.
     */
    void checkpointed(const JobId& job, TimePoint now);

    /**
     * @brief Lists guaranteed cells that the present capacity cannot hold.
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
     * @brief Lists the workers that get no work, or one task only, because tasks failed there.
     * @return The workers in no particular order.
     */
    [[nodiscard]] std::vector<WorkerId> quarantined() const;

    /**
     * @brief Says why a job waits and what reclaiming its guarantee would cost.
     * @param job The job.
     * @param now The present time.
     * @return The explanation; nothing for a job that is not known.
     */
    [[nodiscard]] std::optional<Explanation> explain(const JobId& job, TimePoint now) const;

    /**
     * @brief Measures how much free capacity is of no use.
     * @return Share of the free accelerators in service that no guaranteed or waiting shape can use, 0 to 1.
     */
    [[nodiscard]] double fragmentation() const;

    /**
     * @brief Gives the free capacity of a worker.
     * @param worker The worker.
     * @return What running gangs leave; nothing for a worker that is not known or lost.
     */
    [[nodiscard]] std::optional<Resources> freeOn(const WorkerId& worker) const;

private:
    struct WorkerLoad {
        Amount used;
        Amount claimed;
        std::vector<Index> jobs;
    };

    // Bounds the time of one eviction among thousands of workers; more places hardly lower the loss.
    static constexpr std::size_t maxPlacesCompared = 64;

    using Victims = std::vector<Index>;
    using CanEvict = std::function<bool(const PlannerJob& job)>;

    struct Eviction {
        Placement place;
        Victims victims;
    };

    // Records.
    [[nodiscard]] Index findJob(const JobId& job) const;
    [[nodiscard]] Index makeJob(const JobSpec& spec, TimePoint now);
    void removeJob(Index job);
    void enqueue(Index job);
    void dequeue(Index job);

    // Capacity.
    [[nodiscard]] bool announcedAs(Index worker, const WorkerSpec& spec) const;
    [[nodiscard]] bool offered(Index worker) const;
    [[nodiscard]] bool inService(Index worker) const;
    [[nodiscard]] Amount available(Index worker) const;
    void refresh(Index worker);
    void refreshOffer(Index worker);
    void withdraw(Index worker);
    [[nodiscard]] bool zoneAllowed(Index zone) const;
    [[nodiscard]] Amount placeable(Index worker) const;

    // Places of jobs.
    void occupy(Index job, Placement place, PlacementState state);
    void vacate(Index job);
    void charge(Index job, Placement covered);
    void demote(Index job);
    void begin(Index job, Placement place, TimePoint now);
    [[nodiscard]] Assignment assignmentOf(const Placement& place) const;
    [[nodiscard]] Placement placementOf(const Assignment& workers);

    // Guarantees.
    void settle();
    void bindMissing();
    void rebind();
    [[nodiscard]] CellBook rearranged(bool onlyIdle) const;
    void replaceBook(CellBook book);
    void unbindCell(Index cell);
    void demoteCharged(Index cell);
    void chargePlaced(Index workspace);
    [[nodiscard]] Placement coveringPlace(const CellBook::Cell& cell) const;
    [[nodiscard]] bool couldCover(const GangShape& shape, const PlannerJob& job) const;
    [[nodiscard]] Placement spaceFor(const GangShape& shape) const;
    [[nodiscard]] std::vector<Index> placedJobsOf(Index workspace, const std::vector<Index>& workers) const;

    // Starts.
    void startClaims(TimePoint now);
    void startClaim(Index job, TimePoint now);
    [[nodiscard]] bool claimIsFree(const PlannerJob& job) const;
    void placeWaiting(TimePoint now);
    [[nodiscard]] bool tryPlace(Index job, TimePoint now);
    [[nodiscard]] std::vector<Placement> placesInOneCell(const PlannerJob& job) const;
    [[nodiscard]] std::vector<Placement> placesAcrossCells(const PlannerJob& job) const;
    [[nodiscard]] bool startOrReclaim(Index job, TimePoint now);
    [[nodiscard]] bool moveToCheaperPlace(const Eviction& eviction, const GangShape& inside, TimePoint now);
    [[nodiscard]] bool startByMovingCell(Index job, TimePoint now);
    [[nodiscard]] bool moveCell(Index cell, Placement target, const GangShape& inside);
    [[nodiscard]] Placement placeInside(Index cell, const Placement& target, const GangShape& shape) const;
    [[nodiscard]] bool startBorrowed(Index job, TimePoint now);

    // Queue.
    [[nodiscard]] bool startReserved(Index job, TimePoint now);
    [[nodiscard]] bool preempt(Index job, TimePoint now);
    void reserveFor(Index job, TimePoint now);
    [[nodiscard]] Reservation findReservation(Index job, TimePoint now, bool avoidCells) const;
    void dropStaleReservation();
    [[nodiscard]] bool keptFree(Index worker, Index job, TimePoint now) const;
    [[nodiscard]] bool reserved(Index worker) const;
    [[nodiscard]] Duration estimate(const PlannerJob& job) const;
    [[nodiscard]] std::vector<std::pair<TimePoint, Index>> endsOfRuns(TimePoint now) const;
    [[nodiscard]] std::vector<Index> workersNear(const Placement& place, Adjacency adjacency) const;
    [[nodiscard]] std::vector<Index> allWorkers() const;

    // Zone drains and faults.
    void drainZones(TimePoint now);
    void drainZone(Index zone, TimePoint now);
    [[nodiscard]] std::vector<Index> gangsIn(Index zone) const;
    void noteSuccess(const PlannerJob& job);
    void advanceHealth(TimePoint now);
    void placeProbes(TimePoint now);
    void failHopeless(TimePoint now);
    void expireLost(TimePoint now);
    [[nodiscard]] std::string whyHopeless(Index job, bool settled) const;

    // Explanations.
    void explainWait(Index job, TimePoint now, Explanation& found) const;
    void nameEvicting(Index worker, std::vector<JobId>& names) const;

    // Evictions.
    [[nodiscard]] std::optional<Eviction> cheapest(
        const std::vector<Placement>& places, const Amount& perTask, TimePoint now, const CanEvict& canEvict) const;
    [[nodiscard]] std::optional<Victims> victimsFor(
        const Placement& place, const Amount& perTask, TimePoint now, const CanEvict& canEvict) const;
    [[nodiscard]] Amount usedBy(const PlannerJob& job, Index worker) const;
    [[nodiscard]] double lossOf(const Victims& victims, TimePoint now) const;
    void evict(Index job, const std::string& reason);
    void claim(Index job, Placement place, const Victims& victims, const std::string& reason, TimePoint now);
    void unclaim(Index job);

    Topology m_topology;
    std::vector<WorkerLoad> m_loads;
    RoomIndex m_free;
    CellBook m_book;

    std::unordered_map<JobId, Index> m_jobIndex;
    std::vector<PlannerJob> m_jobs;
    std::vector<Index> m_unusedJobs;
    NameTable<WorkspaceId> m_workspaces;
    NameTable<std::string> m_kinds;
    std::set<std::pair<TimePoint, Index>> m_queue;
    std::set<Index> m_claims;
    Reservation m_reservation;
    RunTimeEstimates m_estimates;
    std::map<Index, ReturnPace> m_returns;
    std::map<Index, WorkerHealth> m_health;
    std::unordered_map<Index, std::vector<Index>> m_failedOn;
    std::set<Index> m_unchecked;
    RoomIndex m_capacity;
    std::deque<std::pair<TimePoint, Index>> m_lost;
    std::unordered_map<Index, TimePoint> m_lostAt;
    std::optional<TimePoint> m_firstPlan;
    std::optional<TimePoint> m_reservationTriedAt;
    TimePoint m_now;
    std::vector<std::vector<Index>> m_placed;

    bool m_unsettled { false };
    Decisions m_decisions;
};

static_assert(PlacementPolicy<Planner>);

}
