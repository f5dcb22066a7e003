#pragma once

#include "lycheespool/document/audit_record.h"
#include "lycheespool/store/transaction.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <utility>

namespace lycheespool {

/*! @brief Queue of system actions to be written; thread-safe, not meant for the request path. */
class AuditQueue {
public:
    /*! @brief Maximum queue length, about 1 MB; the oldest records are kept because they show how an outage began. */
    static constexpr std::size_t capacity = 4096;
    /*! @brief Maximum number of rows in one transaction. */
    static constexpr std::size_t batchSize = 32;

    /**
     * @brief Constructs a queue.
     * @param process This process.
     * @param incarnation Distinguishes the keys of this incarnation of the process.
     */
    AuditQueue(EntryId process, Incarnation incarnation);

    /**
     * @brief Adds a record.
     * @param record Record without `who` and `process`, which are set to this process.
     * @return False when the queue is full and the record was dropped.
     */
    bool push(AuditRecord record);

    /**
     * @brief Returns the oldest records as one transaction that can be repeated safely.
     * @return The same transaction until removeBatch() is called; without writes when the queue is empty.
     */
    [[nodiscard]] Transaction nextBatch();

    /*! @brief Removes the records of the last batch after they were written to the table. */
    void removeBatch();

    /**
     * @brief Returns the number of records dropped so far.
     * @return Number of records.
     */
    [[nodiscard]] std::uint64_t droppedCount() const;

    /**
     * @brief Returns the number of queued records.
     * @return Number of records, including those of the current batch.
     */
    [[nodiscard]] std::size_t size() const;

private:
    void append(AuditRecord record);
    void reportDropped();

    mutable std::mutex m_mutex;
    EntryId m_process;
    Incarnation m_incarnation;
    std::deque<std::pair<std::string, std::string>> m_rows;
    std::size_t m_batchRows { 0 };
    std::uint64_t m_lastSequence { 0 };
    std::uint64_t m_droppedCount { 0 };
    std::uint64_t m_reportedCount { 0 };
    WallTime m_lastDropTime {};
};

}
