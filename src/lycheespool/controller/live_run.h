#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/dispatch/node_capacity.h"
#include "lycheespool/workload/lifetime.h"
#include "lycheespool/workload/resource_vector.h"
#include "lycheespool/workload/task_name.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lycheespool {

/*! @brief Identifies one run of a task. */
struct RunKey {
    TaskName task;
    std::uint64_t run { 0 };

    friend auto operator<=>(const RunKey&, const RunKey&) = default;
};

/*! @brief Phase of a run from its placement to its confirmed start. */
enum class RunPhase : std::uint8_t {
    /*! @brief The start order is not sent; the placement may not be stored yet. */
    planned,
    /*! @brief The start order was sent; the executor may start the run now or later. */
    ordered,
    /*! @brief The executor confirmed the start. */
    confirmed,
};

/*! @brief Time of an order that was never sent; far before the clock's origin, since the clock may start at zero. */
inline constexpr TimePoint neverOrdered { -std::chrono::hours { 24 } };

/*! @brief A run that holds capacity on an executor until it has certainly ended. */
struct LiveRun {
    Lifetime lifetime;
    std::string node;
    RunPhase phase { RunPhase::planned };
    /*! @brief Job revision that must be stored before the placement is durable. */
    std::uint64_t plannedRevision { 0 };
    ResourceVector charged;
    /*! @brief Empty unless the run is to be stopped. */
    std::string stopReason;
    /*! @brief When the first stop order was sent. */
    TimePoint stopOrderedAt { neverOrdered };
    /*! @brief First task of the waiting step whose reservation the run uses; the run is stopped once that step can
     * start otherwise. Known only to the leader that started the run. */
    std::optional<TaskName> yieldsTo {};
    /*! @brief The executor answered the stop order, so the run cannot start any more. */
    bool stopAnswered { false };
    /*! @brief Start orders after which the executor may have begun the run: all that were sent, less those whose
     * outcome excludes it. */
    std::uint32_t possibleStarts { 0 };
    /*! @brief When the latest order was sent. */
    TimePoint orderedAt { neverOrdered };
    TimePoint confirmedAt {};
    /*! @brief Agent's clock when the executor answered the latest order, ms. */
    std::uint64_t answeredAtMs { 0 };
    std::uint32_t percent { 0 };
    /*! @brief Agent's clock of the first list that showed the percent, ms; 0 before the first list. */
    std::uint64_t percentListedMs { 0 };
    /*! @brief Agent's clock of the latest list that showed the run, ms; 0 before the first list. */
    std::uint64_t lastListedMs { 0 };
    /*! @brief A list has shown the run after its start window, in this term or before. */
    bool wasAtWork { false };
    std::string checkpoint;
    /*! @brief The run resumed from a checkpoint or started under another leader, so its measured time is not the run
     * time of the task. */
    bool isPartial { false };
    /*! @brief When the latest checkpoint was first reported. */
    TimePoint checkpointAt {};
    /*! @brief Reliability of the executor when the run was planned; unknown, hence the default, for an earlier term. */
    NodeReliability plannedReliability { NodeReliability::reliable };

    [[nodiscard]] bool isStopping() const { return !stopReason.empty(); }
    [[nodiscard]] bool mayHaveBegun() const { return phase == RunPhase::confirmed || possibleStarts > 0; }
};

}
