#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/scheduler/lease_event.h"
#include "lycheespool/scheduler/lease_mutex.h"
#include "lycheespool/scheduler/lease_record.h"
#include "lycheespool/store/leader_lease.h"
#include "lycheespool/store/table.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace lycheespool {

/**
 * @brief Elects the leader of one scheduling domain: acquires and renews the domain's leader lease.
 * @tparam TableType Model of Table.
 * @tparam Clock Has `now()`.
 */
template <typename TableType, typename Clock = SteadyClock>
class LeaderElector {
public:
    static_assert(Table<TableType>);

    /**
     * @brief Creates a candidate.
     * @param executor Executor of the thread that uses it.
     * @param domain Name of the scheduling domain.
     * @param self Holder and incarnation that this process writes.
     * @param table The table; must outlive this object.
     * @param clock Clock of the process.
     */
    LeaderElector(const asio::any_io_executor& executor, const std::string& domain, LeaseRecord self, TableType& table,
        Clock clock)
        : m_key { LeaseRecord::key(domain) }
        , m_self { std::move(self) }
        , m_table { table }
        , m_clock { clock }
        , m_mutex { executor }
    {
    }

    /**
     * @brief Reads the row as a candidate or renews it as the holder, if that is due.
     * @return Change of leadership.
     */
    [[nodiscard]] Awaitable<LeaseEvent> step()
    {
        const auto now = m_clock.now();
        if (m_lastStep && !m_mustReadRow && now - *m_lastStep < LeaderLeaseTimes {}.renewInterval)
            co_return LeaseEvent::none;
        m_lastStep = now;
        if (isHeld() && !m_mustReadRow)
            co_return co_await write(m_self.epoch, m_lease.version());
        co_return co_await readAndWrite();
    }

    /**
     * @brief Checks if this process may act as the leader; must be called before each effect.
     * @return True until the last renewal expires.
     */
    [[nodiscard]] bool isHeld() const { return m_lease.isHeld(m_clock.now()); }

    /**
     * @brief Returns the epoch of this process.
     * @return Epoch in which it last held the lease.
     */
    [[nodiscard]] Epoch epoch() const { return m_lease.epoch(); }

    /**
     * @brief Returns the highest epoch seen in the row.
     * @return The epoch.
     */
    [[nodiscard]] Epoch newestEpoch() const { return m_newestEpoch; }

    /**
     * @brief Returns a condition on the lease row that fails once another process is the leader.
     * @return Condition for transactions between lockShared() and unlockShared() of the mutex.
     */
    [[nodiscard]] Condition condition() const { return { m_key, m_lease.version() }; }

    /**
     * @brief Returns the mutex that transactions with condition() must hold shared.
     * @return The mutex.
     */
    [[nodiscard]] LeaseMutex& mutex() { return m_mutex; }

private:
    [[nodiscard]] Awaitable<LeaseEvent> readAndWrite()
    {
        Row row;
        try {
            row = co_await m_table.get(m_key);
        } catch (const Error&) {
            m_mustReadRow = m_lease.wasHeld();
            co_return LeaseEvent::none;
        }
        LeaseRecord record;
        if (row.exists())
            record = LeaseRecord::decode(row.value);
        m_newestEpoch = std::max(m_newestEpoch, record.epoch);
        // Only this process writes its own incarnation, so no other process has taken over.
        if (row.exists() && record == m_self)
            co_return co_await write(m_self.epoch, row.version);
        m_mustReadRow = false;
        m_lease.observe(row.version, m_clock.now());
        if (m_lease.wasHeld()) {
            m_lease.lost();
            co_return LeaseEvent::lost;
        }
        if (!m_lease.mayTakeOver(m_clock.now()))
            co_return LeaseEvent::none;
        const Epoch next { m_newestEpoch.value() + 1 };
        co_return co_await write(next, row.version);
    }

    [[nodiscard]] Awaitable<LeaseEvent> write(Epoch epoch, std::uint64_t version)
    {
        const bool wasHeld = m_lease.wasHeld();
        auto record = m_self;
        record.epoch = epoch;
        Transaction transaction;
        transaction.conditions.push_back({ m_key, version });
        transaction.writes.push_back({ m_key, record.encode() });
        // From here on, a row with this epoch was written by this process, even if the reply is lost.
        m_self.epoch = epoch;
        m_mustReadRow = true;
        co_await m_mutex.lockExclusive();
        const auto sent = m_clock.now();
        const bool wasValid = m_lease.isHeld(sent);
        CommitResult result;
        try {
            result = co_await m_table.commit(transaction);
        } catch (const Error&) {
            result.committed = false;
        }
        if (result.committed) {
            m_lease.held(epoch, result.version, sent);
            m_newestEpoch = std::max(m_newestEpoch, epoch);
            m_mustReadRow = false;
        }
        m_mutex.unlockExclusive();
        if (!result.committed || (wasHeld && wasValid))
            co_return LeaseEvent::none;
        co_return wasHeld ? LeaseEvent::regained : LeaseEvent::taken;
    }

    std::string m_key;
    /*! @brief The record that this process last wrote or tried to write. */
    LeaseRecord m_self;
    TableType& m_table;
    Clock m_clock;
    LeaseMutex m_mutex;
    LeaderLease m_lease;
    Epoch m_newestEpoch;
    std::optional<TimePoint> m_lastStep;
    /*! @brief Set while the row must be read before it is written again. */
    bool m_mustReadRow { false };
};

}
