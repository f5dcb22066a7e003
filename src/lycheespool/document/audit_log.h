#pragma once

#include "lycheespool/core/error.h"
#include "lycheespool/core/log.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/document/audit_queue.h"
#include "lycheespool/net/sleep.h"
#include "lycheespool/store/table.h"

#include <atomic>
#include <optional>
#include <string>
#include <utility>

namespace lycheespool {

/**
 * @brief Writes system actions to the audit trail; queues them while the table is unavailable.
 *
 * The actions are named `zone drained`, `zone returned`, `worker quarantined`, `guarantee lost`, `guarantee restored`
 * and `leader changed`.
 *
 * @tparam Type A Table.
 */
template <Table Type>
class AuditLog {
public:
    /*! @brief Time between two attempts to write. */
    static constexpr Duration interval = std::chrono::seconds { 1 };

    /**
     * @brief Constructs an audit log.
     * @param table The table; like the metrics, it must outlive the log.
     * @param process This process.
     * @param incarnation Incarnation of this process.
     * @param metrics Registry for the counters.
     */
    AuditLog(Type& table, EntryId process, Incarnation incarnation, Metrics& metrics)
        : m_table { table }
        , m_queue { std::move(process), incarnation }
        , m_written { metrics.counter("audit_records_written_total") }
        , m_dropped { metrics.counter("audit_records_dropped_total") }
    {
    }

    /**
     * @brief Queues a record of an action; never blocks.
     * @param act Name of the action.
     * @param subject Zone, worker, workspace or domain.
     * @param detail What changed and why.
     * @param time Calendar time of the action.
     */
    void record(std::string act, std::string subject, std::string detail, WallTime time)
    {
        AuditRecord record;
        record.act = std::move(act);
        record.subject = std::move(subject);
        record.after = std::move(detail);
        record.time = time;
        if (m_queue.push(std::move(record)))
            return;
        m_dropped.add();
        if (!m_isDropping.exchange(true))
            log(LogLevel::error, "audit: {} records are queued for the table; further records are dropped",
                AuditQueue::capacity);
    }

    /**
     * @brief Writes the queued records.
     * @return True when the queue is empty; false when the table did not accept a batch.
     */
    [[nodiscard]] Awaitable<bool> flush()
    {
        for (;;) {
            auto transaction = m_queue.nextBatch();
            const auto rows = transaction.writes.size();
            if (rows == 0)
                co_return true;
            const bool isWritten = co_await write(std::move(transaction));
            if (!isWritten)
                co_return false;
            m_queue.removeBatch();
            m_written.add(rows);
            if (m_isDropping.exchange(false))
                log(LogLevel::warning, "audit: the table accepts records again; {} records were dropped in total",
                    m_queue.droppedCount());
        }
    }

    /*! @brief Flushes once per interval until stop() is called. */
    [[nodiscard]] Awaitable<> run()
    {
        while (!m_isStopped) {
            static_cast<void>(co_await flush());
            co_await sleepFor(interval);
        }
    }

    /*! @brief Ends run() after its current wait; may be called from any thread. */
    void stop() { m_isStopped = true; }

private:
    /*! @brief A batch whose keys already exist was written by an earlier attempt whose reply was lost. */
    [[nodiscard]] Awaitable<bool> write(Transaction transaction)
    {
        try {
            static_cast<void>(co_await m_table.commit(std::move(transaction)));
            co_return true;
        } catch (const Error&) {
            co_return false;
        }
    }

    Type& m_table;
    AuditQueue m_queue;
    Counter& m_written;
    Counter& m_dropped;
    std::atomic<bool> m_isDropping { false };
    std::atomic<bool> m_isStopped { false };
};

}
