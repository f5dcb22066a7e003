#pragma once

#include "lycheespool/cluster/node_settings.h"
#include "lycheespool/controller/decision_policy.h"
#include "lycheespool/controller/lease_row.h"
#include "lycheespool/core/clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace lycheespool {

/*! @brief Time constants and decision policy of the leader. */
struct ControllerSettings {
    /*! @brief Validity of a permit to extend an executor's lease; tasks of an unreachable executor restart only after
     * it. */
    Duration permitDuration { std::chrono::seconds { 7 } };
    /*! @brief Time for which a leader that cannot reach the store still grants permits after its lease expired. */
    Duration passiveGrace { std::chrono::seconds { 6 } };
    /*! @brief Time after which an order without an outcome is sent again. */
    Duration orderRetry { std::chrono::milliseconds { 1500 } };
    /*! @brief Maximum age of the last contact with an agent for a start on its node. */
    Duration maxContactAge { std::chrono::milliseconds { 2200 } };
    DecisionPolicy policy;
    /*! @brief Delay before this candidate takes a free leader lease. */
    Duration candidacyDelay {};
    ClusterBounds bounds;
    /*! @brief Maximum size of an encoded progress row, bytes. */
    std::size_t maxProgressBytes { maxValueBytes(NodeSettings {}.rowBytes) };

    /**
     * @brief Returns how large a value may be so that its base64 text fits into a row.
     * @param rowBytes Maximum size of a row in the store, bytes.
     * @return Size, bytes.
     */
    [[nodiscard]] static constexpr std::size_t maxValueBytes(std::size_t rowBytes) { return rowBytes / 4 * 3; }

    /*! @brief Minimum processor share to lead without a candidacy delay; a leader of 240 executors uses up to 0.1. */
    static constexpr double leaderProcessorShare = 0.2;
    /*! @brief Candidacy delay of VMs with a smaller share; other candidates check an overdue lease every 100 ms. */
    static constexpr Duration smallVmCandidacyDelay = std::chrono::milliseconds { 400 };

    /**
     * @brief Derives the constants from the settings of a process.
     * @param node The settings.
     * @return Settings.
     */
    [[nodiscard]] static ControllerSettings from(const NodeSettings& node)
    {
        ControllerSettings settings;
        settings.bounds = node.bounds;
        settings.maxProgressBytes = maxValueBytes(node.rowBytes);
        // Long enough to survive a leader change or a short network outage; lost tasks restart only after it.
        settings.permitDuration
            = std::clamp<Duration>(node.bounds.maxLease, std::chrono::seconds { 5 }, std::chrono::seconds { 7 });
        if (node.processorShare < leaderProcessorShare)
            settings.candidacyDelay = smallVmCandidacyDelay;
        return settings;
    }

    /**
     * @brief Returns the time after which a permit that is granted now has certainly expired at the executor.
     * @return The permit, plus 3% for clocks that run 2% slow, plus 300 ms to kill the tasks.
     */
    [[nodiscard]] Duration permitExpiryBound() const
    {
        return permitDuration + permitDuration * 3 / 100 + std::chrono::milliseconds { 300 };
    }

    /**
     * @brief Returns the time from the start of a term until every permit of the previous leader has expired.
     *
     * A successor may start while the term of an unresponsive leader still runs, and that leader grants permits for
     * passiveGrace after its term.
     *
     * @return The time.
     */
    [[nodiscard]] Duration previousPermitsExpiryBound() const
    {
        return leaderLeaseTerm + passiveGrace + permitExpiryBound();
    }
};

}
