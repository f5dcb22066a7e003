#pragma once

#include "lycheespool/core/error.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/scheduler/job_rows.h"
#include "lycheespool/scheduler/leader_elector.h"
#include "lycheespool/scheduler/managed_job.h"
#include "lycheespool/scheduler/write_outcome.h"

#include <string>

namespace lycheespool {

/**
 * @brief Writes job rows on the condition that this process is still the leader.
 * @tparam TableType Model of Table.
 * @tparam Clock Has `now()`.
 */
template <typename TableType, typename Clock>
class JobStore {
public:
    /**
     * @brief Creates a writer.
     * @param table The table; must outlive this object.
     * @param lease Lease of this process; must outlive this object.
     */
    JobStore(TableType& table, LeaderElector<TableType, Clock>& lease)
        : m_table { table }
        , m_lease { lease }
    {
    }

    /**
     * @brief Writes a job's row.
     *
     * If the reply is lost, the row is read back. On any outcome other than `written`, job.reload is set.
     *
     * @param job The job; its version is a condition of the write and is updated by it.
     * @param record New content.
     * @return Outcome of the write.
     */
    [[nodiscard]] Awaitable<WriteOutcome> write(ManagedJob& job, const JobRecord& record)
    {
        const auto key = JobRows::jobKey(record.spec.id);
        const auto value = record.encode();
        Transaction transaction;
        transaction.conditions.push_back({ key, job.version });
        transaction.writes.push_back({ key, value });
        co_await m_lease.mutex().lockShared();
        auto outcome = WriteOutcome::refused;
        // Checked after locking, because the lease may have expired during a pause or a slow renewal.
        if (m_lease.isHeld()) {
            transaction.conditions.push_back(m_lease.condition());
            outcome = co_await commit(transaction, job.version);
        }
        m_lease.mutex().unlockShared();
        if (outcome == WriteOutcome::unknown)
            outcome = co_await readBack(key, value, job.version);
        if (outcome != WriteOutcome::written)
            job.reload = true;
        co_return outcome;
    }

    /**
     * @brief Deletes inbox rows that have been processed.
     * @param rows The rows as read; if one of them has changed since, none is deleted.
     */
    [[nodiscard]] Awaitable<> acknowledge(const Rows& rows)
    {
        Transaction transaction;
        for (const auto& it : rows) {
            transaction.conditions.push_back({ it.key, it.version });
            transaction.writes.push_back({ it.key, std::nullopt });
        }
        co_await m_lease.mutex().lockShared();
        std::uint64_t version = 0;
        if (m_lease.isHeld()) {
            transaction.conditions.push_back(m_lease.condition());
            co_await commit(transaction, version);
        }
        m_lease.mutex().unlockShared();
    }

private:
    [[nodiscard]] Awaitable<WriteOutcome> commit(const Transaction& transaction, std::uint64_t& version)
    {
        try {
            const auto result = co_await m_table.commit(transaction);
            if (!result.committed)
                co_return WriteOutcome::refused;
            version = result.version;
            co_return WriteOutcome::written;
        } catch (const Error& error) {
            co_return error.kind() == ErrorKind::unavailable ? WriteOutcome::refused : WriteOutcome::unknown;
        }
    }

    [[nodiscard]] Awaitable<WriteOutcome> readBack(
        const std::string& key, const std::string& value, std::uint64_t& version)
    {
        try {
            const auto row = co_await m_table.get(key);
            if (row.version == version || row.value != value)
                co_return WriteOutcome::refused;
            version = row.version;
            co_return WriteOutcome::written;
        } catch (const Error&) {
            co_return WriteOutcome::unknown;
        }
    }

    TableType& m_table;
    LeaderElector<TableType, Clock>& m_lease;
};

}
