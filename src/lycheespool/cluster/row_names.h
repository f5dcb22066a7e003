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
 * The store carries out the transactions of one partition one after another, so writers that need not agree use
 * partitions of their own: accepted jobs are spread over shards, the lease has one, and the leader has one for progress
 * and its fence, which each of its transactions covers.
 */
struct RowNames {
    /*! @brief Partition of the leader's rows in the domain. */
    std::string partition { "domain-0" };

    /*! @brief Partitions of accepted jobs; a rebuild reads each of them. */
    static constexpr unsigned submissionShards = 16;
    /*! @brief Table of accepted jobs and cancellations, written by entries; the leader follows it. */
    static constexpr std::string_view submissionTable = "intake";
    /*! @brief Table of the progress of jobs, written by the leader; entries follow it. */
    static constexpr std::string_view progressTable = "progress";
    /*! @brief Table of the leader lease and its fence. */
    static constexpr std::string_view controlTable = "control";
    static constexpr std::string_view jobPrefix = "job/";
    static constexpr std::string_view cancelPrefix = "cancel/";

    /*! @brief Partition of one shard of accepted jobs. */
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
    /*! @brief Row that names the leader and changes with each renewal. */
    [[nodiscard]] RowName lease() const { return { std::string { controlTable }, leasePartition(), "lease" }; }
    /*! @brief Row that changes only with the leader; each transaction of the leader requires its version. */
    [[nodiscard]] RowName fence() const { return { std::string { controlTable }, partition, "fence" }; }

private:
    [[nodiscard]] RowName submission(std::string_view prefix, std::string_view id) const
    {
        return { std::string { submissionTable }, submissionPartitionOf(id), std::string { prefix }.append(id) };
    }
};

}
