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

/*! @brief What a step of Leadership changed. */
enum class LeadershipChange : std::uint8_t { none, taken, lost };

/**
 * @brief Takes, renews and gives back the leader lease of a domain.
 *
 * A candidate that sees a renewal overdue asks the holder. It takes over at once from a holder whose process has ended
 * or that the store does not serve, and after a short wait from one that does not answer. An early takeover is safe
 * although the former holder may not know of it yet: the fence makes its transactions fail, agents refuse its orders
 * once they know the new epoch, and a run whose placement it has stored counts as ordered.
 *
 * @tparam Store Model of RowStore.
 * @tparam Probe Model of HolderProbe.
 */
template <RowStore Store, HolderProbe Probe>
class Leadership {
public:
    /*! @brief Times for tasks of seconds; instead of waiting for takeoverDelay, candidates ask the holder. */
    static constexpr LeaderLeaseTimes times { std::chrono::milliseconds { 500 }, std::chrono::milliseconds { 1700 },
        std::chrono::milliseconds { 2200 } };
    /*! @brief Longest time for an answer of the store. */
    static constexpr Duration answerTimeout = std::chrono::milliseconds { 1200 };
    /*! @brief A row without a renewal for this long is overdue; a renewal each 500 ms may need 250 ms. */
    static constexpr Duration overdueAfter = std::chrono::milliseconds { 750 };
    /*! @brief A candidate takes over from a holder that does not answer when the row stood still for this long; shorter
     * than the holder's term, for which ControllerSettings::predecessorTerm allows. */
    static constexpr Duration silentHolderDelay = std::chrono::milliseconds { 1300 };
    /*! @brief Pause before the next step of a holder whose renewal failed. */
    static constexpr Duration settleInterval = std::chrono::milliseconds { 100 };
    /*! @brief Pause between two looks at an overdue or free lease. */
    static constexpr Duration overdueInterval = std::chrono::milliseconds { 100 };

    /**
     * @brief Makes a candidate.
     * @param store The store; must outlive this.
     * @param probe Asks the holder; must outlive this.
     * @param names Names of the rows.
     * @param self This process, as it is written into the row.
     * @param reluctance Time for which the lease is left to other candidates once it is free.
     */
    Leadership(Store& store, Probe& probe, RowNames names, LeaseRow self, Duration reluctance = {})
        : m_store { store }
        , m_probe { probe }
        , m_names { std::move(names) }
        , m_self { std::move(self) }
        , m_reluctance { reluctance }
        , m_lease { times }
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

    /**
     * @brief Gives the time between the beginnings of two steps.
     * @return Shorter than the interval of renewals while the lease is in question.
     */
    [[nodiscard]] Duration stepInterval() const
    {
        if (m_isLeading && m_isUncertain)
            return settleInterval;
        if (m_isOverdue || m_freeSince)
            return overdueInterval;
        // Processes that started together would otherwise look at the row, and ask the holder, all at once.
        return m_isLeading ? times.renewInterval : times.renewInterval - candidateSpread() / 2;
    }

    /**
     * @brief Answers a candidate that asks whether this process leads.
     *
     * A holder whose renewal failed or is too old stops acting before it denies, and acts again only when it has
     * renewed the lease.
     *
     * @param incarnation Process that the candidate asks for.
     * @param asked Term that the candidate asks for.
     * @param now Present time.
     * @return True while this process leads in that term.
     */
    [[nodiscard]] bool confirm(std::uint64_t incarnation, std::uint64_t asked, TimePoint now)
    {
        const bool isAsked = incarnation == m_self.incarnation && asked == m_self.epoch;
        const bool leads = m_isLeading && !m_isUncertain && m_lease.isHeld(now);
        if (isAsked && m_isLeading && !leads) {
            m_isUncertain = true;
            if (m_lease.wasHeld())
                logEvent("leadership_yielded", { { "epoch", m_self.epoch } });
            m_lease.lost();
        }
        return isAsked && leads;
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
    /*! @brief Spreads the candidates, so that the first has settled the lease before most others ask or write. */
    [[nodiscard]] Duration candidateSpread() const
    {
        constexpr std::uint64_t spreadMs = 300;
        return std::chrono::milliseconds { m_self.incarnation % spreadMs };
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
        if (std::exchange(m_isDown, false)) {
            logEvent("lease_readable_again", { { "store_version", list.version } });
            // The holder may have been without the store as well, and renews the lease now.
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
        // The row of an earlier process on the same VM is free at once, since two processes never share a VM.
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
        if (now - *m_freeSince < m_reluctance)
            co_return LeadershipChange::none;
        co_return co_await takeOver(row);
    }

    /*! @brief Tells whether a holder whose renewal is overdue has ended, stopped acting or fallen silent. */
    [[nodiscard]] Awaitable<bool> isAbandoned(LeaseRow row)
    {
        const auto unchanged = m_lease.unchangedFor(BootClock {}.now());
        m_isOverdue = unchanged >= overdueAfter;
        if (unchanged < overdueAfter + candidateSpread())
            co_return false;
        auto asked = row;
        const auto state = co_await m_probe.ask(std::move(asked));
        const bool isAbandoned = state == HolderState::gone || state == HolderState::yielded
            || (state == HolderState::silent && unchanged >= silentHolderDelay + candidateSpread());
        logEvent("lease_overdue",
            { { "holder", row.holder }, { "epoch", row.epoch }, { "holder_state", holderStateName(state) },
                { "unchanged_ms", std::chrono::duration_cast<std::chrono::milliseconds>(unchanged).count() },
                { "abandoned", isAbandoned } });
        co_return isAbandoned;
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
    Duration m_reluctance;
    LeaderLease m_lease;
    /*! @brief Since when the lease is seen free. */
    std::optional<TimePoint> m_freeSince;
    bool m_isOverdue { false };
    std::uint64_t m_fenceVersion { 0 };
    bool m_isLeading { false };
    bool m_isUncertain { false };
    bool m_isDown { false };
    bool m_isRetired { false };
};

}
