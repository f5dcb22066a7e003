#pragma once

#include "lycheespool/dispatch/node_capacity.h"
#include "lycheespool/dispatch/placement_limits.h"
#include "lycheespool/dispatch/start_request.h"

#include <concepts>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace lycheespool {

/**
 * @brief Chooses executors for waiting tasks, in the order of the requests.
 *
 * Designed for gangs that need whole executors of one rack, mixed with many small tasks. Small tasks go to the fullest
 * executor with enough free capacity, so that whole executors stay free. The first requests that do not fit reserve
 * the executors that they wait for, so that later requests do not starve them. A later request whose job has waited
 * with nothing running uses reserved executors if it would end before the reserving request can start (EASY
 * backfilling), or if much capacity is idle. Other requests do not, because they would fill the executors, and
 * stopping them for urgent work costs that work time. The reserving request stops such tasks once it can start
 * otherwise, so they delay it by one stop at most, whatever the forecasts were. Guaranteed work evicts other runs,
 * those with the least unsaved work first. An executor that fails fast is always free, so it would attract and fail
 * one task after another: suspected executors get one task at a time, and gangs only if the other executors could
 * never hold them. The last attempt of a job waits for executors without recent failures, since late work earns more
 * credit than failed work. Uses no clock and no network: the same input gives the same plan.
 */
class StartPlanner {
public:
    /**
     * @brief Constructs a planner.
     * @param nodes Executors; their free capacity shrinks as requests are placed.
     * @param limits Limits of the placement.
     */
    explicit StartPlanner(std::vector<NodeCapacity> nodes, const PlacementLimits& limits = {})
        : m_limits { limits }
        , m_nodes { std::move(nodes) }
        , m_reservations(m_nodes.size())
    {
    }

    /**
     * @brief Places requests.
     * @param requests Requests, most important first.
     * @return Starts and evictions.
     */
    [[nodiscard]] StartPlan plan(std::span<const StartRequest> requests);

private:
    /*! @brief Executors that a search may use. */
    struct Scope {
        /*! @brief Required rack, empty for any. */
        std::string rack {};
        /*! @brief Worst reliability that is accepted. */
        NodeReliability reliability { NodeReliability::failedOnce };
        /*! @brief Includes nodes where tasks of the job failed. */
        bool withAvoided { false };
        /*! @brief Counts resources of runs that are being stopped as free. */
        bool withReleasing { false };
        /*! @brief Counts resources of runs that yield to the request as free. */
        bool withYielding { false };
        /*! @brief Counts the capacity of each executor as free, except what tasks hold that do not end. */
        bool whenEmpty { false };
        /*! @brief Excludes executors that are reserved for other requests, as whenEmpty does. */
        bool unreservedOnly { false };
        /*! @brief Includes all resources that are reserved for other requests. */
        bool withReserved { false };
    };

    /*! @brief Numbers of stopped service tasks by the limited step that they belong to. */
    using LimitedStops = std::map<std::size_t, std::size_t>;

    /*! @brief Runs to evict for a request. */
    struct EvictionChoice {
        /*! @brief Unsaved work that the eviction discards, core-seconds. */
        double cost { 0 };
        std::vector<std::size_t> handles;
        std::vector<std::size_t> nodes;
        /*! @brief All stops of limited steps in this plan, including those of this choice. */
        LimitedStops stops;
    };

    using Places = std::vector<std::size_t>;

    /*! @brief Reservation of one executor for a request that waits. */
    struct Reservation {
        /*! @brief Waiting step of the request. */
        std::size_t step { 0 };
        /*! @brief Position in StartPlan::reservations. */
        std::size_t position { 0 };
        /*! @brief Forecast of the time until the request can start, ms; infinite if it is unknown. */
        double startMs { 0 };
    };

    [[nodiscard]] bool isAllowed(const StartRequest& request, std::size_t node, const Scope& scope) const;
    [[nodiscard]] std::int64_t copiesOn(const StartRequest& request, std::size_t node, const Scope& scope) const;
    [[nodiscard]] std::int64_t copiesIn(const StartRequest& request, const Scope& scope) const;
    [[nodiscard]] Places findPlaces(const StartRequest& request, const Scope& scope) const;
    [[nodiscard]] double slownessRank(const StartRequest& request, const Places& places) const;
    [[nodiscard]] Places findGang(const StartRequest& request, Scope scope) const;
    [[nodiscard]] Places findTasks(const StartRequest& request, Scope scope) const;
    [[nodiscard]] Places find(const StartRequest& request, const Scope& scope) const;
    [[nodiscard]] Scope eligibleScope(const StartRequest& request) const;
    [[nodiscard]] bool hasIdleCapacityFor(const StartRequest& request) const;
    [[nodiscard]] bool mayBackfill(const StartRequest& request, const Reservation& reservation) const;
    [[nodiscard]] Places findMostReliable(const StartRequest& request) const;
    [[nodiscard]] std::set<std::string> racks() const;
    void startOn(std::size_t index, const StartRequest& request, const Places& places, StartPlan& plan);
    [[nodiscard]] std::map<std::size_t, std::size_t> allocate(const StartRequest& request, const Places& places);
    [[nodiscard]] Places withinTrials(const StartRequest& request, const Places& places);
    [[nodiscard]] double timeUntilFree(
        std::size_t node, const ResourceVector& needed, const StartRequest& request) const;
    void reserve(std::size_t index, const StartRequest& request, StartPlan& plan);
    void reserveNodes(std::size_t index, const StartRequest& request, const Places& places, StartPlan& plan);
    void recordDelay(std::size_t index, const StartRequest& request, StartPlan& plan) const;
    [[nodiscard]] bool tryStopYielding(std::size_t index, const StartRequest& request, StartPlan& plan);
    [[nodiscard]] bool tryEvictFor(std::size_t index, const StartRequest& request, StartPlan& plan);
    template <std::predicate<const EvictableRun&> MayStop>
    [[nodiscard]] std::optional<EvictionChoice> evictionsOn(const StartRequest& request, std::size_t node,
        std::int64_t copies, const LimitedStops& stops, const MayStop& mayStop) const;
    [[nodiscard]] std::optional<EvictionChoice> chooseEvictions(
        const StartRequest& request, const std::string& rack) const;
    void stopRuns(std::span<const std::size_t> handles, std::vector<std::size_t>& stopped);

    PlacementLimits m_limits;
    std::vector<NodeCapacity> m_nodes;
    /*! @brief Reservations by node; each node has at most one. */
    std::vector<std::optional<Reservation>> m_reservations;
    /*! @brief Number of reservations without stops in progress, which the limit counts. */
    std::size_t m_waitingReservations { 0 };
    /*! @brief The present request may use any idle capacity; see hasIdleCapacityFor(). */
    bool m_usesIdleCapacity { false };
    LimitedStops m_stops;
};

}
