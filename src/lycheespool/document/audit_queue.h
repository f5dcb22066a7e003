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

/*! @brief Acts of the system that wait to be written; usable from several threads, not meant for the request path. */
class AuditQueue {
public:
    /*! @brief Most waiting records, about 1 MB; the oldest ones are kept because they show how an outage began. */
    static constexpr std::size_t capacity = 4096;
    /*! @brief Most rows of one transaction. */
    static constexpr std::size_t batchSize = 32;

    /**
     * @brief Makes a queue.
     * @param process This process.
     * @param incarnation Distinguishes the keys of this run of the process.
     */
    AuditQueue(EntryId process, Incarnation incarnation);

    /**
     * @brief Adds a record.
     * @param record Record without `who` and `process`, which are set to this process.
     * @return False when the queue is full and the record was dropped.
     */
    bool push(AuditRecord record);

    /**
     * @brief Takes the oldest records as one transaction that can be repeated safely.
     * @return Transaction without writes when nothing waits; the same one until done() is called.
     */
    [[nodiscard]] Transaction batch();

    /*! @brief Removes the records of the last batch, which are in the table. */
    void done();

    /**
     * @brief Reads how many records were dropped so far.
     * @return Records.
     */
    [[nodiscard]] std::uint64_t dropped() const;

    /**
     * @brief Reads how many records wait.
     * @return Records, including those of the present batch.
     */
    [[nodiscard]] std::size_t size() const;

private:
    void append(AuditRecord record);
    void reportDropped();

    mutable std::mutex m_mutex;
    EntryId m_process;
    Incarnation m_incarnation;
    std::deque<std::pair<std::string, std::string>> m_rows;
    std::size_t m_inBatch { 0 };
    std::uint64_t m_lastNumber { 0 };
    std::uint64_t m_dropped { 0 };
    std::uint64_t m_reported { 0 };
    WallTime m_lastDrop {};
};

}
