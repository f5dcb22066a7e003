#include "lycheespool/document/audit_queue.h"

#include "lycheespool/document/document_keys.h"
#include "lycheespool/document/record_codec.h"

#include <fmt/format.h>

#include <algorithm>

namespace lycheespool {

AuditQueue::AuditQueue(EntryId process, Incarnation incarnation)
    : m_process { std::move(process) }
    , m_incarnation { incarnation }
{
}

bool AuditQueue::push(AuditRecord record)
{
    const std::scoped_lock lock { m_mutex };
    if (m_rows.size() >= capacity) {
        ++m_droppedCount;
        m_lastDropTime = record.time;
        return false;
    }
    append(std::move(record));
    return true;
}

Transaction AuditQueue::nextBatch()
{
    const std::scoped_lock lock { m_mutex };
    if (m_batchRows == 0) {
        reportDropped();
        m_batchRows = std::min(m_rows.size(), batchSize);
    }
    Transaction transaction;
    for (std::size_t i = 0; i < m_batchRows; ++i) {
        transaction.conditions.push_back({ m_rows[i].first, 0 });
        transaction.writes.push_back({ m_rows[i].first, m_rows[i].second });
    }
    return transaction;
}

void AuditQueue::removeBatch()
{
    const std::scoped_lock lock { m_mutex };
    m_rows.erase(m_rows.begin(), m_rows.begin() + static_cast<std::ptrdiff_t>(std::exchange(m_batchRows, 0)));
}

std::uint64_t AuditQueue::droppedCount() const
{
    const std::scoped_lock lock { m_mutex };
    return m_droppedCount;
}

std::size_t AuditQueue::size() const
{
    const std::scoped_lock lock { m_mutex };
    return m_rows.size();
}

void AuditQueue::append(AuditRecord record)
{
    record.who = m_process.value();
    record.process = m_process;
    auto key = fmt::format("{}{:0{}}-{}-{:016x}-{:08}", DocumentKeys::systemAudit,
        std::max<std::int64_t>(0, record.time.time_since_epoch().count()), DocumentKeys::timeDigits, m_process.value(),
        m_incarnation.value(), ++m_lastSequence);
    m_rows.emplace_back(std::move(key), RecordCodec::encode(record));
}

void AuditQueue::reportDropped()
{
    // Reports only once the queue has free capacity, so that the report itself does not exceed the limit.
    if (m_reportedCount == m_droppedCount || m_rows.size() >= capacity)
        return;
    AuditRecord record;
    record.time = m_lastDropTime;
    record.act = "audit records dropped";
    record.after = fmt::format("{} records", m_droppedCount - m_reportedCount);
    append(std::move(record));
    m_reportedCount = m_droppedCount;
}

}
