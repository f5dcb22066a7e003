#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/scheduler/job_record.h"
#include "lycheespool/store/row.h"
#include "lycheespool/store/transaction.h"

#include <string>

namespace lycheespool {

/**
 * @brief Keys and transactions of the job rows in the table.
 *
 * In addition to `job/<id>`, an entry writes `job-inbox/<id>` for each new or cancelled job. The leader reads this
 * short list in every step and deletes the rows that it has processed, so it reads all jobs only after a takeover.
 */
struct JobRows {
    /*! @brief Key prefix of all jobs. */
    static constexpr const char* jobPrefix = "job/";
    /*! @brief Key prefix of the changes that the leader has not processed yet. */
    static constexpr const char* inboxPrefix = "job-inbox/";

    /**
     * @brief Returns the key of a job's row.
     * @param id The job.
     * @return The key.
     */
    [[nodiscard]] static std::string jobKey(const JobId& id) { return jobPrefix + id.value(); }

    /**
     * @brief Returns the key of a job's inbox row.
     * @param id The job.
     * @return The key.
     */
    [[nodiscard]] static std::string inboxKey(const JobId& id) { return inboxPrefix + id.value(); }

    /**
     * @brief Returns the job that a row belongs to.
     * @param row Row under jobPrefix or inboxPrefix.
     * @return The job.
     */
    [[nodiscard]] static JobId idOf(const Row& row);

    /**
     * @brief Creates the transaction that submits a new job.
     *
     * If the reply to the transaction is lost, the entry reads the job's row. The job was accepted if and only if the
     * row equals record.encode() or has been written by the leader since.
     *
     * @param record The job.
     * @return Transaction that fails if the job already exists.
     */
    [[nodiscard]] static Transaction submit(const JobRecord& record);

    /**
     * @brief Creates the transaction that requests the cancellation of a job.
     * @param row The job's row as last read.
     * @return Transaction that fails if the row has changed since; read it again and retry.
     * @throws Error of kind notFound if the job does not exist, conflict if it has already ended.
     */
    [[nodiscard]] static Transaction cancel(const Row& row);
};

}
