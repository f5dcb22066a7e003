#pragma once

#include "lycheespool/dispatch/node_capacity.h"
#include "lycheespool/dispatch/placement_limits.h"
#include "lycheespool/dispatch/start_request.h"

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
 * executor with enough free capacity, so that whole executors stay free. The first requests that do not fit reserve the
 * executors that they wait for, so that later requests do not starve them. Guaranteed work evicts other runs, those
 * with the least unsaved work first. An executor that fails fast is always free, so it would attract and fail one task
 * after another: suspected executors get one task at a time, and gangs only if the other executors could never hold
 * them. The last attempt of a job waits for executors without recent failures, since late work earns more credit than
 * failed work. Uses no clock and no network: the same input gives the same plan.
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
        , m_reserved(m_nodes.size(), false)
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
        /*! @brief Counts the capacity of each executor as free, except what tasks hold that do not end. */
        bool whenEmpty { false };
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

    [[nodiscard]] bool isAllowed(const StartRequest& request, std::size_t node, const Scope& scope) const;
    [[nodiscard]] std::int64_t copiesOn(const StartRequest& request, std::size_t node, const Scope& scope) const;
    [[nodiscard]] std::int64_t copiesIn(const StartRequest& request, const Scope& scope) const;
    [[nodiscard]] Places findPlaces(const StartRequest& request, const Scope& scope) const;
    [[nodiscard]] double slownessRank(const StartRequest& request, const Places& places) const;
    [[nodiscard]] Places findGang(const StartRequest& request, Scope scope) const;
    [[nodiscard]] Places findTasks(const StartRequest& request, Scope scope) const;
    [[nodiscard]] Places find(const StartRequest& request, const Scope& scope) const;
    [[nodiscard]] Scope eligibleScope(const StartRequest& request) const;
    [[nodiscard]] Places findMostReliable(const StartRequest& request) const;
    [[nodiscard]] std::set<std::string> racks() const;
    void allocate(const StartRequest& request, const Places& places);
    [[nodiscard]] Places withinTrials(const StartRequest& request, const Places& places);
    void reserve(const StartRequest& request);
    [[nodiscard]] bool tryEvictFor(const StartRequest& request, StartPlan& plan);
    [[nodiscard]] std::optional<EvictionChoice> evictionsOn(
        const StartRequest& request, std::size_t node, std::int64_t copies, const LimitedStops& stops) const;
    [[nodiscard]] std::optional<EvictionChoice> chooseEvictions(
        const StartRequest& request, const std::string& rack) const;
    void evict(std::span<const std::size_t> handles, StartPlan& plan);

    PlacementLimits m_limits;
    std::vector<NodeCapacity> m_nodes;
    std::vector<bool> m_reserved;
    std::size_t m_reservations { 0 };
    LimitedStops m_stops;
};

}
