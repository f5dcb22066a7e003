#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/workload/lifetime.h"
#include "lycheespool/workload/resource_vector.h"
#include "lycheespool/workload/task_name.h"

#include <cstdint>
#include <string>

namespace lycheespool {

/*! @brief Names one run of a task. */
struct RunKey {
    TaskName task;
    std::uint64_t run { 0 };

    friend auto operator<=>(const RunKey&, const RunKey&) = default;
};

/*! @brief How far the order to start a run has come. */
enum class RunPhase : std::uint8_t {
    /*! @brief Not sent; the placement may not be stored yet. */
    planned,
    /*! @brief Sent; the executor may run it now or later. */
    ordered,
    /*! @brief The executor has it. */
    confirmed,
};

/*! @brief Time of an order that was never sent; long before any time of the clock, which may start at zero. */
inline constexpr TimePoint neverOrdered { -std::chrono::hours { 24 } };

/*! @brief A run that takes capacity on an executor until its end is certain. */
struct LiveRun {
    Lifetime lifetime;
    std::string node;
    RunPhase phase { RunPhase::planned };
    /*! @brief Revision of the job whose storage makes the placement durable. */
    std::uint64_t plannedRevision { 0 };
    ResourceVector charged;
    /*! @brief Empty unless the run is to be stopped. */
    std::string stopReason;
    /*! @brief The executor answered the stop, so the run can never start again. */
    bool stopAnswered { false };
    /*! @brief When the newest order was sent. */
    TimePoint orderedAt { neverOrdered };
    TimePoint confirmedAt {};
    /*! @brief Agent's clock when the executor answered the newest order, ms. */
    std::uint64_t answeredAtMs { 0 };
    std::uint32_t percent { 0 };
    /*! @brief Agent's clock of the first list that showed the percent, ms; 0 before the first list. */
    std::uint64_t percentListedMs { 0 };
    std::string checkpoint;
    /*! @brief The run resumed saved work or began under another leader, so its run time is not that of the task. */
    bool isPartial { false };
    /*! @brief When the newest checkpoint was first reported. */
    TimePoint checkpointAt {};

    [[nodiscard]] bool isStopping() const { return !stopReason.empty(); }
};

}
