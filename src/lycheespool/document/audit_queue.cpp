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
        ++m_dropped;
        m_lastDrop = record.time;
        return false;
    }
    append(std::move(record));
    return true;
}

Transaction AuditQueue::batch()
{
    const std::scoped_lock lock { m_mutex };
    if (m_inBatch == 0) {
        reportDropped();
        m_inBatch = std::min(m_rows.size(), batchSize);
    }
    Transaction transaction;
    for (std::size_t i = 0; i < m_inBatch; ++i) {
        transaction.conditions.push_back({ m_rows[i].first, 0 });
        transaction.writes.push_back({ m_rows[i].first, m_rows[i].second });
    }
    return transaction;
}

void AuditQueue::done()
{
    const std::scoped_lock lock { m_mutex };
    m_rows.erase(m_rows.begin(), m_rows.begin() + static_cast<std::ptrdiff_t>(std::exchange(m_inBatch, 0)));
}

std::uint64_t AuditQueue::dropped() const
{
    const std::scoped_lock lock { m_mutex };
    return m_dropped;
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
        m_incarnation.value(), ++m_lastNumber);
    m_rows.emplace_back(std::move(key), RecordCodec::encode(record));
}

void AuditQueue::reportDropped()
{
    // Waits for room, so that the report itself does not exceed the bound.
    if (m_reported == m_dropped || m_rows.size() >= capacity)
        return;
    AuditRecord record;
    record.time = m_lastDrop;
    record.act = "audit records dropped";
    record.after = fmt::format("{} records", m_dropped - m_reported);
    append(std::move(record));
    m_reported = m_dropped;
}

}
