#pragma once

#include "lycheespool/store/row_store.h"

#include <string>
#include <string_view>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lycheespool {

/**
 * @brief Names of the rows that the system keeps in the store.
 *
 * The store serializes the transactions of a partition, so independent writers use separate partitions: submissions are
 * sharded, the lease has its own partition, and the leader has one for the progress of jobs and for its fence, which is
 * part of each of its transactions.
 */
struct RowNames {
    /*! @brief Partition of the leader's rows; prefix of the names of the other partitions. */
    std::string partition { "domain-0" };

    /*! @brief Number of partitions of submissions; a rebuild reads all of them. */
    static constexpr unsigned submissionShards = 16;
    /*! @brief Table of submissions (accepted jobs and cancellations), written by entries and watched by the leader. */
    static constexpr std::string_view submissionTable = "intake";
    /*! @brief Table of the progress of jobs, written by the leader and watched by entries. */
    static constexpr std::string_view progressTable = "progress";
    /*! @brief Table of the leader lease and its fence. */
    static constexpr std::string_view controlTable = "control";
    static constexpr std::string_view jobPrefix = "job/";
    static constexpr std::string_view cancelPrefix = "cancel/";

    /*! @brief Partition of one shard of submissions. */
    [[nodiscard]] std::string submissionPartition(unsigned shard) const
    {
        return partition + "-intake-" + std::to_string(shard);
    }
    /*! @brief Partition of a job and its cancellation. */
    [[nodiscard]] std::string submissionPartitionOf(std::string_view id) const
    {
        return submissionPartition(static_cast<unsigned>(XXH3_64bits(id.data(), id.size()) % submissionShards));
    }
    /*! @brief Partition of the lease. */
    [[nodiscard]] std::string leasePartition() const { return partition + "-lease"; }

    /*! @brief Row of an accepted job. */
    [[nodiscard]] RowName job(std::string_view id) const { return submission(jobPrefix, id); }
    /*! @brief Row of a cancellation. */
    [[nodiscard]] RowName cancel(std::string_view id) const { return submission(cancelPrefix, id); }
    /*! @brief Row of the progress of a job. */
    [[nodiscard]] RowName progress(std::string_view id) const
    {
        return { std::string { progressTable }, partition, std::string { id } };
    }
    /*! @brief Row that names the leader; each renewal changes it. */
    [[nodiscard]] RowName lease() const { return { std::string { controlTable }, leasePartition(), "lease" }; }
    /*! @brief Row that changes only when the leader changes; each transaction of the leader is conditional on its
     * version. */
    [[nodiscard]] RowName fence() const { return { std::string { controlTable }, partition, "fence" }; }

private:
    [[nodiscard]] RowName submission(std::string_view prefix, std::string_view id) const
    {
        return { std::string { submissionTable }, submissionPartitionOf(id), std::string { prefix }.append(id) };
    }
};

}
