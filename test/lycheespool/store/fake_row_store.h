#pragma once

#include "lycheespool/core/boot_clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/net/sleep.h"
#include "lycheespool/store/row_store.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Rows of a store that several views share. */
struct FakeRows {
    std::map<RowName, StoredRow> rows;
    std::vector<StoredRow> history;
    std::uint64_t version { 0 };
    /*! @brief Changes up to this version are forgotten. */
    std::uint64_t compactedTo { 0 };
};

/*! @brief Store in memory whose answers can be lost, late or refused for one caller; a model of RowStore. */
class FakeRowStore {
public:
    explicit FakeRowStore(FakeRows& rows)
        : m_rows { rows }
    {
    }

    /*! @brief Refuses every call. */
    bool isRefusing { false };
    /*! @brief Leaves commits without an answer until their timeout; they take no effect. */
    bool isSilent { false };
    /*! @brief Time of the newest answer. */
    TimePoint answered { BootClock {}.now() };
    /*! @brief Commits that take effect without an answer. */
    unsigned loseAnswers { 0 };
    /*! @brief Commits without an answer that take effect only when applyLate() is called. */
    unsigned delayCommits { 0 };
    unsigned commits { 0 };
    /*! @brief Wait of the latest call for changes. */
    Duration lastWait {};

    [[nodiscard]] TimePoint answeredAt() const { return answered; }

    [[nodiscard]] Awaitable<RowCommit> commit(RowTransaction transaction, Duration timeout)
    {
        ++commits;
        refuse();
        if (isSilent) {
            co_await sleepFor(timeout);
            throw Error { ErrorKind::outcomeUnknown, "no answer", "read the rows back" };
        }
        if (delayCommits > 0) {
            --delayCommits;
            m_late.push_back(std::move(transaction));
            throw Error { ErrorKind::outcomeUnknown, "no answer", "read the rows back" };
        }
        auto commit = apply(transaction);
        if (loseAnswers > 0) {
            --loseAnswers;
            throw Error { ErrorKind::outcomeUnknown, "no answer", "read the rows back" };
        }
        answered = BootClock {}.now();
        co_return commit;
    }

    [[nodiscard]] Awaitable<RowList> list(RowRange range, Duration)
    {
        refuse();
        answered = BootClock {}.now();
        RowList list;
        list.version = m_rows.version;
        for (const auto& [name, row] : m_rows.rows) {
            if (name.table == range.table && name.partition == range.partition && name.key >= range.from
                && (range.to.empty() || name.key < range.to))
                list.rows.push_back(row);
        }
        co_return list;
    }

    [[nodiscard]] Awaitable<RowChanges> changes(std::string table, std::uint64_t after, Duration wait, Duration)
    {
        lastWait = wait;
        refuse();
        RowChanges changes;
        changes.version = m_rows.version;
        changes.isHistoryLost = after < m_rows.compactedTo;
        for (const auto& it : m_rows.history) {
            if (it.name.table == table && it.version > after && !changes.isHistoryLost)
                changes.rows.push_back(it);
        }
        if (changes.rows.empty())
            co_await sleepFor(std::min<Duration>(wait, std::chrono::milliseconds { 5 }));
        answered = BootClock {}.now();
        co_return changes;
    }

    /*! @brief Carries out what had no answer, if its conditions still hold. */
    void applyLate()
    {
        for (const auto& it : m_late)
            (void)apply(it);
        m_late.clear();
    }

private:
    void refuse() const
    {
        if (isRefusing)
            throw Error { ErrorKind::unavailable, "the store refused the call with 503", "try again later" };
    }

    RowCommit apply(const RowTransaction& transaction)
    {
        RowCommit commit;
        commit.isCommitted = true;
        for (const auto& it : transaction.conditions) {
            const auto row = m_rows.rows.find(it.name);
            if ((row == m_rows.rows.end() ? 0 : row->second.version) != it.version)
                commit.isCommitted = false;
            if (row != m_rows.rows.end())
                commit.current.push_back(row->second);
        }
        if (!commit.isCommitted)
            return commit;
        commit.current.clear();
        commit.version = ++m_rows.version;
        for (const auto& it : transaction.writes) {
            const StoredRow row { it.name, it.value.value_or(std::string {}), commit.version, !it.value };
            m_rows.history.push_back(row);
            if (it.value)
                m_rows.rows[it.name] = row;
            else
                m_rows.rows.erase(it.name);
        }
        return commit;
    }

    FakeRows& m_rows;
    std::vector<RowTransaction> m_late;
};

static_assert(RowStore<FakeRowStore>);

/**
 * @brief Runs a coroutine to its end on a context of its own.
 * @tparam Result Type of its result.
 * @param operation The coroutine.
 * @return Its result.
 */
template <typename Result>
Result await(Awaitable<Result> operation)
{
    asio::io_context context;
    std::optional<Result> result;
    std::exception_ptr error;
    asio::co_spawn(context, std::move(operation), [&](std::exception_ptr failure, Result value) {
        error = std::move(failure);
        result = std::move(value);
    });
    context.run();
    if (error)
        std::rethrow_exception(error);
    return std::move(*result);
}

}
