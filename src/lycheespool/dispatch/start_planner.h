#pragma once

#include "lycheespool/dispatch/node_capacity.h"
#include "lycheespool/dispatch/start_request.h"

#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace lycheespool {

/**
 * @brief Chooses executors for waiting tasks, in the order of the requests.
 *
 * Answers a load of gangs that need whole executors of one rack beside many small tasks. Small tasks fill the fullest
 * executor that has room, so that whole executors stay free. The first requests that find no room reserve the executors
 * that they wait for, so that later ones do not starve them. Guaranteed work stops other runs, those with the least
 * unsaved work first. An executor that fails fast is always free, so that it would draw and fail task after task:
 * suspects get one task at a time, and gangs only when the others could never hold them; the last try of a job waits
 * for executors that have not failed lately, since late work is worth more than failed work. No clock, no network: the
 * same input gives the same plan.
 */
class StartPlanner {
public:
    /*! @brief Requests without room that hold a reservation at a time; more would leave too much capacity idle. */
    static constexpr std::size_t maxReservations = 4;

    /**
     * @brief Makes a planner.
     * @param nodes Executors; their room shrinks while requests are placed.
     */
    explicit StartPlanner(std::vector<NodeCapacity> nodes)
        : m_nodes { std::move(nodes) }
        , m_reserved(m_nodes.size(), false)
    {
    }

    /**
     * @brief Places requests.
     * @param requests Requests, the most important first.
     * @return Starts and evictions.
     */
    [[nodiscard]] StartPlan plan(std::span<const StartRequest> requests);

private:
    /*! @brief Which executors a search may use. */
    struct Scope {
        /*! @brief Rack to stay on, empty for any. */
        std::string rack {};
        NodeReliability reliability { NodeReliability::failedOnce };
        /*! @brief Also uses nodes where the request has failed. */
        bool withAvoided { false };
        /*! @brief Counts room that stopping runs give back. */
        bool withReleasing { false };
        /*! @brief Counts the capacity of an empty executor. */
        bool whenEmpty { false };
    };

    /*! @brief Runs to stop for a request. */
    struct EvictionChoice {
        /*! @brief Unsaved work that is thrown away, core-seconds. */
        double cost { 0 };
        std::vector<std::size_t> handles;
        std::vector<std::size_t> nodes;
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
    [[nodiscard]] Scope usableScope(const StartRequest& request) const;
    [[nodiscard]] Places findTrusted(const StartRequest& request) const;
    [[nodiscard]] std::set<std::string> racks() const;
    void take(const StartRequest& request, const Places& places);
    void reserve(const StartRequest& request);
    [[nodiscard]] bool evictFor(const StartRequest& request, StartPlan& plan);
    [[nodiscard]] std::optional<EvictionChoice> evictionsOn(
        const StartRequest& request, std::size_t node, std::int64_t copies) const;
    [[nodiscard]] std::optional<EvictionChoice> chooseEvictions(
        const StartRequest& request, const std::string& rack) const;
    void evict(std::span<const std::size_t> handles, StartPlan& plan);

    std::vector<NodeCapacity> m_nodes;
    std::vector<bool> m_reserved;
    std::size_t m_reservations { 0 };
};

}
