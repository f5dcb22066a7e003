#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/scheduler/job_record.h"
#include "lycheespool/store/row.h"
#include "lycheespool/store/transaction.h"

#include <string>

namespace lycheespool {

/**
 * @brief Rows of jobs in the table.
 *
 * Beside `job/<id>`, an entry writes `job-inbox/<id>` for each new or cancelled job; the leader reads this short list
 * every step and deletes what it has taken in, so it never has to read all jobs except after a takeover.
 */
struct JobRows {
    /*! @brief Start of the keys of all jobs. */
    static constexpr const char* jobPrefix = "job/";
    /*! @brief Start of the keys of the changes that the leader has not taken in. */
    static constexpr const char* inboxPrefix = "job-inbox/";

    /**
     * @brief Gives the key of a job's row.
     * @param id The job.
     * @return The key.
     */
    [[nodiscard]] static std::string jobKey(const JobId& id) { return jobPrefix + id.value(); }

    /**
     * @brief Gives the key of a job's change.
     * @param id The job.
     * @return The key.
     */
    [[nodiscard]] static std::string inboxKey(const JobId& id) { return inboxPrefix + id.value(); }

    /**
     * @brief Gives the job of a row.
     * @param row Row under jobPrefix or inboxPrefix.
     * @return The job.
     */
    [[nodiscard]] static JobId idOf(const Row& row);

    /**
     * @brief Makes the transaction that submits a new job.
     *
     * When its answer is lost, the entry reads the job's row: it equals record.encode() or was written by the leader
     * since exactly when the job was accepted.
     *
     * @param record The job.
     * @return Transaction that fails when the job exists already.
     */
    [[nodiscard]] static Transaction submit(const JobRecord& record);

    /**
     * @brief Makes the transaction that requests the end of a job.
     * @param row The job's row as read just before.
     * @return Transaction that fails when the row has changed since; read it and try again.
     * @throws Error of kind notFound when there is no such job, conflict when it has ended already.
     */
    [[nodiscard]] static Transaction cancel(const Row& row);
};

}
