#pragma once

#include "lycheespool/cluster/row_names.h"
#include "lycheespool/core/event_log.h"
#include "lycheespool/store/row_store.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheespool {

/*! @brief Rows of an ended job and the versions that they must still have to be removed. */
struct EndedJobRows {
    std::string id;
    std::uint64_t jobRowVersion { 0 };
    std::uint64_t progressVersion { 0 };
    bool hasCancellation { false };
};

/**
 * @brief Finds orphaned progress rows: a leader removed the job row and stopped before it removed the progress row.
 * @param submissions Rows of all submission shards.
 * @param progress Progress rows, listed after the fence was raised.
 * @return The rows.
 */
[[nodiscard]] inline std::vector<RowCondition> findOrphanedProgress(const RowList& submissions, const RowList& progress)
{
    // Compares keys only, so that an undecodable job row keeps its progress row.
    std::set<std::string> accepted;
    for (const auto& it : submissions.rows)
        accepted.insert(it.name.key);
    std::vector<RowCondition> orphans;
    for (const auto& it : progress.rows) {
        if (!accepted.contains(std::string { RowNames::jobPrefix } + it.name.key))
            orphans.push_back({ it.name, it.version });
    }
    return orphans;
}

/**
 * @brief Removes rows of jobs whose status retention has passed. Each removal is conditional on the row version that
 * was read, so a removal that takes effect late removes no newer row.
 * @tparam Store Model of RowStore.
 */
template <RowStore Store>
class RowCleaner {
public:
    /**
     * @brief Makes a cleaner.
     * @param store The store; must outlive the cleaner.
     * @param names Names of the rows.
     * @param answerTimeout Timeout for an answer of the store.
     */
    RowCleaner(Store& store, RowNames names, Duration answerTimeout)
        : m_store { store }
        , m_names { std::move(names) }
        , m_answerTimeout { answerTimeout }
    {
    }

    /**
     * @brief Removes the rows of an ended job. The job row is removed first: a progress row without a job row is only
     * an orphan, while a job row without a progress row would run again.
     * @param rows The rows.
     * @param fence Condition that the caller still leads.
     * @throws Error when the store does not answer; the rows may or may not be removed.
     */
    [[nodiscard]] Awaitable<> remove(EndedJobRows rows, RowCondition fence)
    {
        RowTransaction acceptance;
        acceptance.conditions.push_back({ m_names.job(rows.id), rows.jobRowVersion });
        acceptance.writes.push_back({ m_names.job(rows.id), std::nullopt });
        if (rows.hasCancellation)
            acceptance.writes.push_back({ m_names.cancel(rows.id), std::nullopt });
        // A failed condition means that an earlier attempt without an answer removed the row.
        const auto accepted = co_await m_store.commit(std::move(acceptance), m_answerTimeout);
        RowTransaction progress;
        progress.conditions.push_back(std::move(fence));
        progress.conditions.push_back({ m_names.progress(rows.id), rows.progressVersion });
        progress.writes.push_back({ m_names.progress(rows.id), std::nullopt });
        const auto cleared = co_await m_store.commit(std::move(progress), m_answerTimeout);
        logEvent("job_removed",
            { { "job", rows.id }, { "acceptance", accepted.isCommitted }, { "progress", cleared.isCommitted } });
    }

    /**
     * @brief Removes a progress row whose job row was removed.
     * @param row The row and its version.
     * @throws Error when the store does not answer.
     */
    [[nodiscard]] Awaitable<> removeOrphan(RowCondition row)
    {
        RowTransaction transaction;
        transaction.conditions.push_back(row);
        transaction.writes.push_back({ row.name, std::nullopt });
        const auto removed = co_await m_store.commit(std::move(transaction), m_answerTimeout);
        logEvent("orphan_removed", { { "row", row.name.key }, { "removed", removed.isCommitted } });
    }

private:
    Store& m_store;
    RowNames m_names;
    Duration m_answerTimeout;
};

}
