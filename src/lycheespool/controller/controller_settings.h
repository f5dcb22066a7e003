#pragma once

#include "lycheespool/cluster/node_settings.h"
#include "lycheespool/core/clock.h"
#include "lycheespool/dispatch/preemption.h"

#include <algorithm>
#include <chrono>

namespace lycheespool {

/*! @brief Time constants of the leader. */
struct ControllerSettings {
    /*! @brief Permit of an agent to extend its executor's lease; tasks of an unreachable executor wait this long. */
    Duration permit { std::chrono::seconds { 7 } };
    /*! @brief A leader without the store goes on granting permits this long after its lease ran out. */
    Duration passiveGrace { std::chrono::seconds { 6 } };
    /*! @brief Longest time for which a previous leader may act after its successor took over: its term of the lease,
     * Leadership::times.holderTerm. */
    Duration predecessorTerm { std::chrono::milliseconds { 1700 } };
    /*! @brief Time after which an order without an outcome is sent again. */
    Duration orderRetry { std::chrono::milliseconds { 1500 } };
    /*! @brief Least time without progress after which a task counts as stalled: two lists, which come each 0.9 s. */
    Duration stallTime { std::chrono::milliseconds { 1800 } };
    /*! @brief Time for which an executor that failed or stalled tasks is avoided. */
    Duration suspicion { std::chrono::seconds { 10 } };
    /*! @brief Oldest contact with an agent on which a start may rely. */
    Duration contactAge { std::chrono::milliseconds { 2200 } };
    PreemptionLimits preemption;
    /*! @brief How much urgent work prefers fast executors over tightly packed ones; see StartRequest::speedWeight. */
    double urgentSpeedWeight { 3 };
    /*! @brief The same for other work, which leaves the fast executors to urgent work where it packs as well. */
    double patientSpeedWeight { -0.5 };
    /*! @brief Time for which a free leader lease is left to other candidates. */
    Duration reluctance {};
    ClusterBounds bounds;

    /*! @brief Processor share from which on a VM leads without delay; a leader of 240 executors uses up to 0.1. */
    static constexpr double leaderProcessorShare = 0.2;
    /*! @brief Time for which VMs with less leave a free lease to the others, which look at an overdue row each 100 ms.
     */
    static constexpr Duration smallVmReluctance = std::chrono::milliseconds { 400 };

    /**
     * @brief Derives the constants from the settings of a process.
     * @param node The settings.
     * @return Settings.
     */
    [[nodiscard]] static ControllerSettings from(const NodeSettings& node)
    {
        ControllerSettings settings;
        settings.bounds = node.bounds;
        // Survives the loss of a leader and a short cut, and delays the restart of lost tasks no longer than needed.
        settings.permit
            = std::clamp<Duration>(node.bounds.maxLease, std::chrono::seconds { 5 }, std::chrono::seconds { 7 });
        if (node.processorShare < leaderProcessorShare)
            settings.reluctance = smallVmReluctance;
        return settings;
    }

    /**
     * @brief Bounds the time until a permit that was granted now has certainly run out at the executor.
     * @return The permit, 3% for clocks that run 2% slow, and 300 ms for the kill.
     */
    [[nodiscard]] Duration permitEnd() const { return permit + permit * 3 / 100 + std::chrono::milliseconds { 300 }; }

    /**
     * @brief Bounds the time from the start of a term until every permit of the previous leader has run out.
     *
     * A successor may begin while the term of a silent leader still runs, which then grants for the grace after it.
     *
     * @return The time.
     */
    [[nodiscard]] Duration previousPermitsEnd() const { return predecessorTerm + passiveGrace + permitEnd(); }
};

}
