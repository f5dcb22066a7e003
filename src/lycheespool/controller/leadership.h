#pragma once

#include "lycheespool/cluster/row_names.h"
#include "lycheespool/controller/lease_row.h"
#include "lycheespool/core/boot_clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/core/event_log.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/store/leader_lease.h"
#include "lycheespool/store/row_store.h"
#include "lycheespool/workload/job_progress.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <string>

namespace lycheespool {

/*! @brief What a step of Leadership changed. */
enum class LeadershipChange : std::uint8_t { none, taken, lost };

/**
 * @brief Takes, renews and gives back the leader lease of a domain.
 * @tparam Store Model of RowStore.
 */
template <RowStore Store>
class Leadership {
public:
    /*! @brief Times for tasks of seconds: a successor decides about 2.5 s after the last renewal of a lost leader. */
    static constexpr LeaderLeaseTimes times { std::chrono::milliseconds { 500 }, std::chrono::milliseconds { 1700 },
        std::chrono::milliseconds { 2200 } };
    /*! @brief Longest time for an answer of the store. */
    static constexpr Duration answerTimeout = std::chrono::milliseconds { 1200 };

    /**
     * @brief Makes a candidate.
     * @param store The store; must outlive this.
     * @param names Names of the rows.
     * @param self This process, as it is written into the row.
     */
    Leadership(Store& store, RowNames names, LeaseRow self)
        : m_store { store }
        , m_names { std::move(names) }
        , m_self { std::move(self) }
        , m_lease { withJitter(m_self) }
    {
    }

    /**
     * @brief Renews the lease, or tries to take it.
     * @return What changed.
     */
    [[nodiscard]] Awaitable<LeadershipChange> step()
    {
        if (m_isLeading && !m_isUncertain)
            co_return co_await renew();
        co_return co_await inspect();
    }

    /*! @brief Gives the lease back so that a successor need not wait. */
    [[nodiscard]] Awaitable<> giveBack()
    {
        m_isRetired = true;
        if (!std::exchange(m_isLeading, false))
            co_return;
        LeaseRow empty;
        empty.epoch = m_self.epoch;
        auto transaction = write(empty);
        try {
            (void)co_await m_store.commit(std::move(transaction), answerTimeout);
            logEvent("leadership_returned", { { "epoch", m_self.epoch } });
        } catch (const Error& error) {
            logEvent("leadership_return_failed", { { "epoch", m_self.epoch }, { "reason", error.what() } });
        }
    }

    /**
     * @brief Tells whether this process may decide.
     * @param now Present time.
     * @return True within the term of the last successful renewal.
     */
    [[nodiscard]] bool isHeld(TimePoint now) const { return m_isLeading && m_fenceVersion > 0 && m_lease.isHeld(now); }

    /**
     * @brief Tells whether no other process is known to lead, although the store may be out of reach.
     * @param now Present time.
     * @param grace Time after the end of the term for which this is assumed.
     * @return True while permits may be granted.
     */
    [[nodiscard]] bool mayGrant(TimePoint now, Duration grace) const
    {
        return m_isLeading && m_lease.isHeld(now - grace);
    }

    /*! @brief Fencing number of the present or last term. */
    [[nodiscard]] Epoch epoch() const { return Epoch { m_self.epoch }; }
    /*! @brief Condition that fails once another process leads. */
    [[nodiscard]] RowCondition fence() const { return { m_names.fence(), m_fenceVersion }; }

    /**
     * @brief Writes the epoch of a new term into the fence, so that transactions of predecessors fail from then on.
     * @return True when the fence carries this term; false when another term passed it.
     * @throws Error when the store did not tell; to be called again.
     */
    [[nodiscard]] Awaitable<bool> raiseFence()
    {
        RowRange range { std::string { RowNames::controlTable }, m_names.partition, {}, {} };
        const auto list = co_await m_store.list(std::move(range), answerTimeout);
        const auto it = std::ranges::find(list.rows, m_names.fence(), &StoredRow::name);
        std::uint64_t version = 0;
        if (it != list.rows.end()) {
            version = it->version;
            const auto epoch = unpackValue<std::uint64_t>(it->value);
            if (epoch == m_self.epoch)
                m_fenceVersion = version;
            if (epoch >= m_self.epoch)
                co_return epoch == m_self.epoch;
        }
        RowTransaction transaction;
        transaction.conditions.push_back({ m_names.fence(), version });
        transaction.writes.push_back({ m_names.fence(), packValue(m_self.epoch) });
        const auto commit = co_await m_store.commit(std::move(transaction), answerTimeout);
        if (!commit.isCommitted)
            co_return co_await raiseFence();
        m_fenceVersion = commit.version;
        co_return true;
    }

private:
    /*! @brief Spreads the candidates, since one lost transaction each would fill a slow store's queue. */
    [[nodiscard]] static LeaderLeaseTimes withJitter(const LeaseRow& self)
    {
        constexpr std::uint64_t spreadMs = 500;
        auto spread = times;
        spread.takeoverDelay += std::chrono::milliseconds { self.incarnation % spreadMs };
        return spread;
    }

    [[nodiscard]] RowTransaction write(const LeaseRow& row) const
    {
        RowTransaction transaction;
        transaction.conditions.push_back({ m_names.lease(), m_lease.version() });
        transaction.writes.push_back({ m_names.lease(), packValue(row) });
        return transaction;
    }

    [[nodiscard]] Awaitable<LeadershipChange> renew()
    {
        const auto sent = BootClock {}.now();
        auto transaction = write(m_self);
        RowCommit commit;
        try {
            commit = co_await m_store.commit(std::move(transaction), answerTimeout);
        } catch (const Error& error) {
            m_isUncertain = true;
            logEvent("lease_renewal_failed", { { "epoch", m_self.epoch }, { "reason", error.what() } });
            co_return LeadershipChange::none;
        }
        if (commit.isCommitted) {
            m_lease.held(epoch(), commit.version, sent);
            co_return LeadershipChange::none;
        }
        m_isUncertain = true;
        co_return co_await inspect();
    }

    /*! @brief Reads the rows, settles an uncertain renewal and takes a free lease. */
    [[nodiscard]] Awaitable<LeadershipChange> inspect()
    {
        const auto sent = BootClock {}.now();
        RowList list;
        try {
            RowRange range { std::string { RowNames::controlTable }, m_names.leasePartition(), {}, {} };
            list = co_await m_store.list(std::move(range), answerTimeout);
        } catch (const Error& error) {
            if (!std::exchange(m_isDown, true))
                logEvent("lease_unreadable", { { "reason", error.what() } });
            co_return LeadershipChange::none;
        }
        if (std::exchange(m_isDown, false))
            logEvent("lease_readable_again", { { "store_version", list.version } });
        LeaseRow row;
        std::uint64_t version = 0;
        if (const auto it = std::ranges::find(list.rows, m_names.lease(), &StoredRow::name); it != list.rows.end()) {
            row = unpackValue<LeaseRow>(it->value);
            version = it->version;
        }
        m_lease.observe(version, sent);
        const bool isOwn = row.holder == m_self.holder && row.incarnation == m_self.incarnation;
        if (m_isLeading) {
            if (isOwn && row.epoch == m_self.epoch) {
                // The uncertain renewal or an earlier one took effect; the next renewal continues from there.
                m_isUncertain = false;
                co_return co_await renew();
            }
            m_isLeading = false;
            logEvent("leadership_lost",
                { { "epoch", m_self.epoch }, { "successor", row.holder }, { "successor_epoch", row.epoch } });
            co_return LeadershipChange::lost;
        }
        // The row of an earlier process on the same VM is free at once, since two processes never share a VM.
        const bool isFree
            = row.holder.empty() || row.holder == m_self.holder || m_lease.mayTakeOver(BootClock {}.now());
        if (m_isRetired || !isFree)
            co_return LeadershipChange::none;
        co_return co_await takeOver(row);
    }

    [[nodiscard]] Awaitable<LeadershipChange> takeOver(LeaseRow previous)
    {
        const auto sent = BootClock {}.now();
        // Grows with each attempt, so that a takeover without an answer leaves no two terms with one number.
        m_self.epoch = std::max(m_self.epoch, previous.epoch) + 1;
        auto transaction = write(m_self);
        RowCommit commit;
        try {
            commit = co_await m_store.commit(std::move(transaction), answerTimeout);
        } catch (const Error& error) {
            logEvent("takeover_failed", { { "epoch", m_self.epoch }, { "reason", error.what() } });
            co_return LeadershipChange::none;
        }
        if (!commit.isCommitted)
            co_return LeadershipChange::none;
        m_lease.held(epoch(), commit.version, sent);
        m_fenceVersion = 0;
        m_isLeading = true;
        m_isUncertain = false;
        logEvent("leadership_taken",
            { { "epoch", m_self.epoch }, { "predecessor", previous.holder }, { "predecessor_epoch", previous.epoch } });
        co_return LeadershipChange::taken;
    }

    Store& m_store;
    RowNames m_names;
    LeaseRow m_self;
    LeaderLease m_lease;
    std::uint64_t m_fenceVersion { 0 };
    bool m_isLeading { false };
    bool m_isUncertain { false };
    bool m_isDown { false };
    bool m_isRetired { false };
};

}
