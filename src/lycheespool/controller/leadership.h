#pragma once

#include "lycheespool/cluster/row_names.h"
#include "lycheespool/controller/holder_probe.h"
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
#include <optional>
#include <string>

namespace lycheespool {

/*! @brief Change of leadership in a step. */
enum class LeadershipChange : std::uint8_t { none, taken, lost };

/**
 * @brief Acquires, renews and releases the leader lease of a domain.
 *
 * A candidate that finds a renewal overdue asks the holder. It takes over at once from a holder whose process has ended
 * or that the store does not serve, and after a short wait from one that does not answer. An early takeover is safe
 * even if the former holder does not know of it yet: the fence makes its transactions fail, agents refuse its orders
 * once they know the new epoch, and a run whose placement it stored counts as ordered.
 *
 * @tparam Store Model of RowStore.
 * @tparam Probe Model of HolderProbe.
 */
template <RowStore Store, HolderProbe Probe>
class Leadership {
public:
    /*! @brief Lease times for tasks that run for seconds; candidates ask the holder before takeoverDelay has passed. */
    static constexpr LeaderLeaseTimes times { std::chrono::milliseconds { 500 }, leaderLeaseTerm,
        std::chrono::milliseconds { 2200 } };
    /*! @brief Timeout for an answer of the store. */
    static constexpr Duration answerTimeout = std::chrono::milliseconds { 1200 };
    /*! @brief Time without a renewal after which the lease is overdue: the renewal interval of 500 ms, plus 250 ms for
     * the renewal itself. */
    static constexpr Duration overdueAfter = std::chrono::milliseconds { 750 };
    /*! @brief Time without a renewal after which a candidate takes over from a holder that does not answer; shorter
     * than leaderLeaseTerm, which ControllerSettings::previousPermitsExpiryBound() accounts for. */
    static constexpr Duration silentHolderDelay = std::chrono::milliseconds { 1300 };
    /*! @brief Pause before the next step of a holder whose renewal failed. */
    static constexpr Duration uncertainInterval = std::chrono::milliseconds { 100 };
    /*! @brief Interval between two checks of an overdue or free lease. */
    static constexpr Duration overdueInterval = std::chrono::milliseconds { 100 };

    /**
     * @brief Creates a candidate.
     * @param store The store; must outlive this.
     * @param probe Asks the holder; must outlive this.
     * @param names Names of the rows.
     * @param self Lease row of this process.
     * @param candidacyDelay Delay before this candidate takes a free lease, so that other candidates can take it first.
     */
    Leadership(Store& store, Probe& probe, RowNames names, LeaseRow self, Duration candidacyDelay = {})
        : m_store { store }
        , m_probe { probe }
        , m_names { std::move(names) }
        , m_self { std::move(self) }
        , m_candidacyDelay { candidacyDelay }
        , m_lease { times }
    {
    }

    /**
     * @brief Renews the lease, or tries to acquire it.
     * @return What changed.
     */
    [[nodiscard]] Awaitable<LeadershipChange> step()
    {
        if (m_isLeading && !m_isUncertain)
            co_return co_await renew();
        co_return co_await inspect();
    }

    /**
     * @brief Returns the time between the starts of two steps.
     * @return The time; shorter than the renewal interval while the lease is uncertain, overdue or free.
     */
    [[nodiscard]] Duration stepInterval() const
    {
        if (m_isLeading && m_isUncertain)
            return uncertainInterval;
        if (m_isOverdue || m_freeSince)
            return overdueInterval;
        // Spreads processes that started together, so that they do not read the row and ask the holder all at once.
        return m_isLeading ? times.renewInterval : times.renewInterval - candidateJitter() / 2;
    }

    /**
     * @brief Answers a candidate that asks whether this process leads.
     *
     * A holder whose renewal failed or is too old stops acting before it answers that it does not lead, and acts again
     * only after it has renewed the lease.
     *
     * @param incarnation Incarnation of the process that the candidate asks about.
     * @param askedEpoch Epoch that the candidate asks about.
     * @param now Present time.
     * @return True while this process leads in that term.
     */
    [[nodiscard]] bool confirm(std::uint64_t incarnation, std::uint64_t askedEpoch, TimePoint now)
    {
        const bool isAsked = incarnation == m_self.incarnation && askedEpoch == m_self.epoch;
        const bool leads = m_isLeading && !m_isUncertain && m_lease.isHeld(now);
        if (isAsked && m_isLeading && !leads) {
            m_isUncertain = true;
            if (m_lease.wasHeld())
                logEvent("leadership_yielded", { { "epoch", m_self.epoch } });
            m_lease.lost();
        }
        return isAsked && leads;
    }

    /*! @brief Releases the lease so that a successor need not wait for its expiry. */
    [[nodiscard]] Awaitable<> release()
    {
        m_isRetired = true;
        if (!std::exchange(m_isLeading, false))
            co_return;
        LeaseRow empty;
        empty.epoch = m_self.epoch;
        auto transaction = leaseWrite(empty);
        try {
            (void)co_await m_store.commit(std::move(transaction), answerTimeout);
            logEvent("leadership_returned", { { "epoch", m_self.epoch } });
        } catch (const Error& error) {
            logEvent("leadership_return_failed", { { "epoch", m_self.epoch }, { "reason", error.what() } });
        }
    }

    /**
     * @brief Checks if this process may make decisions as the leader.
     * @param now Present time.
     * @return True within the term of the last successful renewal.
     */
    [[nodiscard]] bool isHeld(TimePoint now) const { return m_isLeading && m_fenceVersion > 0 && m_lease.isHeld(now); }

    /**
     * @brief Checks if this process may grant permits: no other leader is known, although the store may be unreachable.
     * @param now Present time.
     * @param grace Time after the end of the term during which permits may still be granted.
     * @return True while permits may be granted.
     */
    [[nodiscard]] bool mayGrantPermits(TimePoint now, Duration grace) const
    {
        return m_isLeading && m_lease.isHeld(now - grace);
    }

    /*! @brief Fencing token of the present or last term. */
    [[nodiscard]] Epoch epoch() const { return Epoch { m_self.epoch }; }
    /*! @brief Condition that fails once another process leads. */
    [[nodiscard]] RowCondition fence() const { return { m_names.fence(), m_fenceVersion }; }

    /**
     * @brief Writes the epoch of a new term into the fence, so that transactions of predecessors fail from then on.
     * @return True when the fence holds the epoch of this term; false when it holds a later one.
     * @throws Error when the store does not answer; the call may be repeated.
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
    /*! @brief Delay that differs per process, so that the first candidate is done before most others ask or write. */
    [[nodiscard]] Duration candidateJitter() const
    {
        constexpr std::uint64_t spreadMs = 300;
        return std::chrono::milliseconds { m_self.incarnation % spreadMs };
    }

    [[nodiscard]] RowTransaction leaseWrite(const LeaseRow& row) const
    {
        RowTransaction transaction;
        transaction.conditions.push_back({ m_names.lease(), m_lease.version() });
        transaction.writes.push_back({ m_names.lease(), packValue(row) });
        return transaction;
    }

    [[nodiscard]] Awaitable<LeadershipChange> renew()
    {
        const auto sent = BootClock {}.now();
        auto transaction = leaseWrite(m_self);
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

    /*! @brief Reads the lease row, resolves an uncertain renewal and takes a free lease. */
    [[nodiscard]] Awaitable<LeadershipChange> inspect()
    {
        const auto sent = BootClock {}.now();
        RowList list;
        try {
            RowRange range { std::string { RowNames::controlTable }, m_names.leasePartition(), {}, {} };
            list = co_await m_store.list(std::move(range), answerTimeout);
        } catch (const Error& error) {
            if (!std::exchange(m_isStoreUnreachable, true))
                logEvent("lease_unreadable", { { "reason", error.what() } });
            co_return LeadershipChange::none;
        }
        if (std::exchange(m_isStoreUnreachable, false)) {
            logEvent("lease_readable_again", { { "store_version", list.version } });
            // The holder may have lost the store as well and gets time to renew the lease.
            m_lease.forgetObservation();
        }
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
        if (m_isRetired)
            co_return LeadershipChange::none;
        // A lease of an earlier process on the same VM is taken at once, since two processes never share a VM.
        if (!row.holder.empty() && row.holder == m_self.holder)
            co_return co_await takeOver(row);
        bool isFree = row.holder.empty();
        if (!isFree) {
            auto holder = row;
            isFree = co_await isAbandoned(std::move(holder));
        }
        if (!isFree) {
            m_freeSince.reset();
            co_return LeadershipChange::none;
        }
        const auto now = BootClock {}.now();
        if (!m_freeSince)
            m_freeSince = now;
        if (now - *m_freeSince < m_candidacyDelay)
            co_return LeadershipChange::none;
        co_return co_await takeOver(row);
    }

    /*! @brief Checks if a holder whose renewal is overdue has ended, stopped acting or does not answer. */
    [[nodiscard]] Awaitable<bool> isAbandoned(LeaseRow row)
    {
        const auto unchanged = m_lease.unchangedFor(BootClock {}.now());
        m_isOverdue = unchanged >= overdueAfter;
        if (unchanged < overdueAfter + candidateJitter())
            co_return false;
        auto asked = row;
        const auto state = co_await m_probe.ask(std::move(asked));
        const bool isAbandoned = state == HolderState::gone || state == HolderState::yielded
            || (state == HolderState::silent && unchanged >= silentHolderDelay + candidateJitter());
        logEvent("lease_overdue",
            { { "holder", row.holder }, { "epoch", row.epoch }, { "holder_state", holderStateName(state) },
                { "unchanged_ms", std::chrono::duration_cast<std::chrono::milliseconds>(unchanged).count() },
                { "abandoned", isAbandoned } });
        co_return isAbandoned;
    }

    [[nodiscard]] Awaitable<LeadershipChange> takeOver(LeaseRow previous)
    {
        const auto sent = BootClock {}.now();
        // Increased with each attempt, so that a takeover whose answer is lost shares its epoch with no later term.
        m_self.epoch = std::max(m_self.epoch, previous.epoch) + 1;
        auto transaction = leaseWrite(m_self);
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
        m_isOverdue = false;
        m_freeSince.reset();
        logEvent("leadership_taken",
            { { "epoch", m_self.epoch }, { "predecessor", previous.holder }, { "predecessor_epoch", previous.epoch } });
        co_return LeadershipChange::taken;
    }

    Store& m_store;
    Probe& m_probe;
    RowNames m_names;
    LeaseRow m_self;
    Duration m_candidacyDelay;
    LeaderLease m_lease;
    /*! @brief When this candidate first found the lease free. */
    std::optional<TimePoint> m_freeSince;
    bool m_isOverdue { false };
    std::uint64_t m_fenceVersion { 0 };
    bool m_isLeading { false };
    bool m_isUncertain { false };
    bool m_isStoreUnreachable { false };
    bool m_isRetired { false };
};

}
