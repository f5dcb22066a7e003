#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/placement/decision.h"
#include "lycheespool/placement/job_spec.h"
#include "lycheespool/scheduler/job_state.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheespool {

/*! @brief A job as stored in its row `job/<id>`. */
struct JobRecord {
    JobSpec spec;
    JobState state { JobState::queued };
    /*! @brief Number of the gang's last run; 0 before the first run. */
    Attempt attempt;
    /*! @brief Worker of each task while the gang runs. */
    Assignment workers;
    /*! @brief Work saved by the last checkpoint of the whole gang. */
    Duration checkpoint {};
    /*! @brief Human-readable reason for the state; empty if it needs none. */
    std::string reason;
    std::string submittedBy;
    /*! @brief Set by an entry; the leader cancels the job and sets the state. */
    bool cancelRequested { false };
    /*! @brief Actual run time of the emulated tasks; zero to use the declared run time. */
    Duration emulatedRunTime {};

    /**
     * @brief Encodes the record for its row.
     * @return JSON text.
     */
    [[nodiscard]] std::string encode() const;

    /**
     * @brief Decodes a row.
     * @param text JSON text.
     * @return The record.
     * @throws Error of kind invalidArgument.
     */
    [[nodiscard]] static JobRecord decode(std::string_view text);

    /**
     * @brief Changes the state.
     * @param next Next state.
     * @param why Human-readable reason.
     * @throws Error of kind internal if the transition is not allowed.
     */
    void change(JobState next, std::string why = {});

    /**
     * @brief Returns the run time that start orders carry.
     * @return Work of each task.
     */
    [[nodiscard]] Duration runTime() const
    {
        return emulatedRunTime > Duration::zero() ? emulatedRunTime : spec.declaredRunTime;
    }
};

}
