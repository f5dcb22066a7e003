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

/*! @brief A job as its row `job/<id>` holds it. */
struct JobRecord {
    JobSpec spec;
    JobState state { JobState::queued };
    /*! @brief Number of the last run of the gang; 0 before the first one. */
    Attempt attempt;
    /*! @brief Worker of each task while the gang runs. */
    Assignment workers;
    /*! @brief Work that the last checkpoint of the whole gang saved. */
    Duration checkpoint {};
    /*! @brief Why the job is in its state; empty when that needs no explanation. */
    std::string reason;
    std::string submittedBy;
    /*! @brief Set by an entry; the leader cancels the job and sets the state. */
    bool cancelRequested { false };
    /*! @brief Real run time of the emulated tasks; zero when the declared one is right. */
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
     * @param why Reason, for people.
     * @throws Error of kind internal when the change is not allowed.
     */
    void change(JobState next, std::string why = {});

    /**
     * @brief Gives the run time that the tasks get.
     * @return Work of each task.
     */
    [[nodiscard]] Duration runTime() const
    {
        return emulatedRunTime > Duration::zero() ? emulatedRunTime : spec.declaredRunTime;
    }
};

}
