#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace lycheespool {

/*! @brief Run time of one task of a step on a node. */
struct NodeRun {
    std::string node;
    /*! @brief Run time, ms. */
    double runMs { 0 };
};

/**
 * @brief Estimates the speed of nodes from steps whose tasks ran on several nodes.
 *
 * Designed for urgent gangs on executors of unequal speed: a gang is as slow as its slowest member, and with eight
 * members one of them is nearly always on one of the slowest nodes. Tasks of one step do about the same work, so their
 * run times allow a comparison of nodes although the amount of work is unknown. Only completed steps count, since the
 * tasks that end first are those on fast nodes. Uses no clock and no network.
 */
class NodeSpeeds {
public:
    /**
     * @brief Records all runs of a completed step.
     * @param runs Runs that were neither interrupted nor resumed; steps with few runs are ignored.
     */
    void addStep(std::span<const NodeRun> runs);

    /**
     * @brief Returns the logarithm of a node's run times relative to the mean node.
     * @param node Name of the node.
     * @return Positive for slow nodes, zero for nodes without data.
     */
    [[nodiscard]] double slownessOf(std::string_view node) const;

private:
    struct NodeStatistics {
        double sum { 0 };
        double count { 0 };
    };

    std::map<std::string, NodeStatistics, std::less<>> m_nodes;
};

}
