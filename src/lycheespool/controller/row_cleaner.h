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

/*! @brief Rows of an ended job, with the versions that they must still have to be removed. */
struct EndedJobRows {
    std::string id;
    std::uint64_t acceptedVersion { 0 };
    std::uint64_t progressVersion { 0 };
    bool hasCancellation { false };
};

/**
 * @brief Finds progress rows whose acceptance was removed by a leader that did not come to the progress.
 * @param intake Rows of all intake shards.
 * @param progress Progress rows, listed after the fence was raised.
 * @return The rows.
 */
[[nodiscard]] inline std::vector<RowCondition> findOrphans(const RowList& intake, const RowList& progress)
{
    // By key, so that an acceptance which is not readable keeps its progress.
    std::set<std::string> accepted;
    for (const auto& it : intake.rows)
        accepted.insert(it.name.key);
    std::vector<RowCondition> orphans;
    for (const auto& it : progress.rows) {
        if (!accepted.contains(std::string { RowNames::jobPrefix } + it.name.key))
            orphans.push_back({ it.name, it.version });
    }
    return orphans;
}

/**
 * @brief Removes rows of jobs whose state nobody may ask for any more. Each removal names the version that it saw, so
 * that one which takes effect late removes nothing newer.
 * @tparam Store Model of RowStore.
 */
template <RowStore Store>
class RowCleaner {
public:
    /**
     * @brief Makes a cleaner.
     * @param store The store; must outlive the cleaner.
     * @param names Names of the rows.
     * @param answerTimeout Longest time for an answer of the store.
     */
    RowCleaner(Store& store, RowNames names, Duration answerTimeout)
        : m_store { store }
        , m_names { std::move(names) }
        , m_answerTimeout { answerTimeout }
    {
    }

    /**
     * @brief Removes the rows of an ended job. The acceptance goes first: progress without it is only an orphan, while
     * an acceptance without progress would be run again.
     * @param rows The rows.
     * @param fence Condition that the caller still leads.
     * @throws Error when the store gives no answer; the rows may be gone or not.
     */
    [[nodiscard]] Awaitable<> remove(EndedJobRows rows, RowCondition fence)
    {
        RowTransaction acceptance;
        acceptance.conditions.push_back({ m_names.job(rows.id), rows.acceptedVersion });
        acceptance.writes.push_back({ m_names.job(rows.id), std::nullopt });
        if (rows.hasCancellation)
            acceptance.writes.push_back({ m_names.cancel(rows.id), std::nullopt });
        // A condition that fails says that an attempt without an answer has removed the row.
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
     * @brief Removes a row whose job is gone.
     * @param row The row and its version.
     * @throws Error when the store gives no answer.
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
