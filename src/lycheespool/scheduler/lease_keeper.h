#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/scheduler/lease_event.h"
#include "lycheespool/scheduler/lease_gate.h"
#include "lycheespool/scheduler/lease_record.h"
#include "lycheespool/store/leader_lease.h"
#include "lycheespool/store/table.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace lycheespool {

/**
 * @brief Takes and renews the leader lease of one scheduling domain.
 * @tparam TableType Model of Table.
 * @tparam Clock Has `now()`.
 */
template <typename TableType, typename Clock = SteadyClock>
class LeaseKeeper {
public:
    static_assert(Table<TableType>);

    /**
     * @brief Makes a candidate.
     * @param executor Executor of the thread that uses it.
     * @param domain Name of the scheduling domain.
     * @param self Holder and incarnation to write.
     * @param table The table; must outlive this object.
     * @param clock Clock of the process.
     */
    LeaseKeeper(const asio::any_io_executor& executor, const std::string& domain, LeaseRecord self, TableType& table,
        Clock clock)
        : m_key { LeaseRecord::key(domain) }
        , m_self { std::move(self) }
        , m_table { table }
        , m_clock { clock }
        , m_gate { executor }
    {
    }

    /**
     * @brief Does what is due: reads the row as a candidate, renews it as the holder.
     * @return What has changed.
     */
    [[nodiscard]] Awaitable<LeaseEvent> step()
    {
        const auto now = m_clock.now();
        if (m_lastStep && !m_uncertain && now - *m_lastStep < LeaderLeaseTimes {}.renewInterval)
            co_return LeaseEvent::none;
        m_lastStep = now;
        if (isHeld() && !m_uncertain)
            co_return co_await write(m_self.epoch, m_lease.version());
        co_return co_await readAndWrite();
    }

    /**
     * @brief Tells whether this process may act as the leader; to be asked before each effect.
     * @return True within the term of the last renewal.
     */
    [[nodiscard]] bool isHeld() const { return m_lease.isHeld(m_clock.now()); }

    /**
     * @brief Gives the epoch of this process.
     * @return Epoch of its last term.
     */
    [[nodiscard]] Epoch epoch() const { return m_lease.epoch(); }

    /**
     * @brief Gives the highest epoch seen in the row.
     * @return The epoch.
     */
    [[nodiscard]] Epoch newestEpoch() const { return m_newest; }

    /**
     * @brief Names the lease row as a condition that fails once another process is the leader.
     * @return Condition for transactions between enterShared() and leaveShared() of the gate.
     */
    [[nodiscard]] Condition condition() const { return { m_key, m_lease.version() }; }

    /**
     * @brief Gives the gate that transactions with condition() pass.
     * @return The gate.
     */
    [[nodiscard]] LeaseGate& gate() { return m_gate; }

private:
    [[nodiscard]] Awaitable<LeaseEvent> readAndWrite()
    {
        Row row;
        try {
            row = co_await m_table.get(m_key);
        } catch (const Error&) {
            m_uncertain = m_lease.wasHeld();
            co_return LeaseEvent::none;
        }
        LeaseRecord record;
        if (row.exists())
            record = LeaseRecord::decode(row.value);
        m_newest = std::max(m_newest, record.epoch);
        // Only this process writes its own incarnation, so the row shows that no other one has taken over.
        if (row.exists() && record == m_self)
            co_return co_await write(m_self.epoch, row.version);
        m_uncertain = false;
        m_lease.observe(row.version, m_clock.now());
        if (m_lease.wasHeld()) {
            m_lease.lost();
            co_return LeaseEvent::lost;
        }
        if (!m_lease.mayTakeOver(m_clock.now()))
            co_return LeaseEvent::none;
        const Epoch next { m_newest.value() + 1 };
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
        // From here on, a row with this epoch is this process's own, even if the answer is lost.
        m_self.epoch = epoch;
        m_uncertain = true;
        co_await m_gate.enterRenewal();
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
            m_newest = std::max(m_newest, epoch);
            m_uncertain = false;
        }
        m_gate.leaveRenewal();
        if (!result.committed || (wasHeld && wasValid))
            co_return LeaseEvent::none;
        co_return wasHeld ? LeaseEvent::regained : LeaseEvent::taken;
    }

    std::string m_key;
    /*! @brief What this process wrote last, or tried to write. */
    LeaseRecord m_self;
    TableType& m_table;
    Clock m_clock;
    LeaseGate m_gate;
    LeaderLease m_lease;
    Epoch m_newest;
    std::optional<TimePoint> m_lastStep;
    /*! @brief Set while the row has to be read before it is written again. */
    bool m_uncertain { false };
};

}
