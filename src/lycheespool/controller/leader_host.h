#pragma once

#include "lycheespool/cluster/operator_watcher.h"
#include "lycheespool/controller/controller.h"
#include "lycheespool/controller/leadership.h"
#include "lycheespool/controller/row_cleaner.h"
#include "lycheespool/net/keep_running.h"
#include "lycheespool/net/rpc_connection.h"
#include "lycheespool/net/wake_up.h"
#include "lycheespool/net/when_all.h"
#include "lycheespool/wire/lease_messages.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace lycheespool {

/**
 * @brief Connects the Controller of a term to the lease, the row store and the agents.
 *
 * All calls must be made on one thread.
 *
 * @tparam Store Model of RowStore.
 * @tparam Probe Model of HolderProbe.
 */
template <RowStore Store, HolderProbe Probe>
class LeaderHost : public std::enable_shared_from_this<LeaderHost<Store, Probe>> {
public:
    /*! @brief Timeout for a read or write of rows in the store. */
    static constexpr Duration answerTimeout = std::chrono::milliseconds { 1500 };
    /*! @brief Minimum pause between two steps of the lease, even if the store answers slowly. */
    static constexpr Duration minLeaseInterval = std::chrono::milliseconds { 20 };
    /*! @brief Longest wait of the change feed for new submissions. */
    static constexpr Duration feedWait = std::chrono::milliseconds { 1000 };
    /*! @brief Longest time between two planning rounds without an event. */
    static constexpr Duration idleInterval = std::chrono::milliseconds { 250 };
    /*! @brief Pause after a failed call to the store. */
    static constexpr Duration retryPause = std::chrono::milliseconds { 150 };
    /*! @brief Timeout for the answer of an agent; it covers the agent's own retries to the executor. */
    static constexpr Duration orderTimeout = std::chrono::milliseconds { 4000 };
    /*! @brief Interval between two removals of old rows. */
    static constexpr Duration cleanUpInterval = std::chrono::seconds { 5 };
    /*! @brief Maximum number of jobs removed per cleanup; 12,000 jobs a day need one removal every 7 s. */
    static constexpr std::size_t jobsPerCleanUp = 16;
    /*! @brief Maximum rows per transaction: each needs a condition and a write, and the fence needs a condition. */
    static constexpr std::size_t rowsPerCommit = (maxTransactionEntries - 1) / 2;

    /**
     * @brief Creates a host that does not lead yet.
     * @param executor Asio executor of the thread.
     * @param store The store; must outlive the host.
     * @param probe Asks another holder of the lease; must outlive the host.
     * @param watcher Watches the operators' rows; must outlive the host.
     * @param names Names of the rows.
     * @param self Lease row of this process.
     * @param settings Time constants.
     * @param metrics Registry for counters.
     */
    LeaderHost(const asio::any_io_executor& executor, Store& store, Probe& probe, OperatorWatcher<Store>& watcher,
        RowNames names, LeaseRow self, const ControllerSettings& settings, Metrics& metrics)
        : m_executor { executor }
        , m_store { store }
        , m_watcher { watcher }
        , m_names { names }
        , m_settings { settings }
        , m_metrics { metrics }
        , m_cleaner { store, names, answerTimeout }
        , m_leadership { store, probe, std::move(names), std::move(self), settings.candidacyDelay }
        , m_wakeUp { executor }
        , m_commitMs { metrics.histogram("progress_commit_ms") }
        , m_takeovers { metrics.counter("leadership_taken_total") }
        , m_commitFailures { metrics.counter("progress_commits_failed_total") }
        , m_unreadableJobs { metrics.counter("job_rows_unreadable_total") }
    {
    }

    /*! @brief Starts the loops. */
    void start()
    {
        spawn("lease loop", &LeaderHost::leaseLoop);
        spawn("work loop", &LeaderHost::workLoop);
    }

    /**
     * @brief Replaces the decision policy of this term and of later ones.
     * @param policy The policy.
     */
    void setPolicy(const DecisionPolicy& policy)
    {
        m_settings.policy = policy;
        if (m_controller)
            m_controller->setPolicy(policy);
        m_wakeUp.wake();
    }

    /*! @brief Notifies the host that the operators' state changed. */
    void onOperatorChange() { m_wakeUp.wake(); }

    /*! @brief Releases the lease before a planned stop. */
    [[nodiscard]] Awaitable<> retire()
    {
        m_controller.reset();
        co_await m_leadership.release();
    }

    /**
     * @brief Answers a report of an agent.
     * @param connection Connection of the agent, used for orders to it.
     * @param report The report.
     * @return The reply.
     */
    [[nodiscard]] NodeReportReply onReport(const std::shared_ptr<RpcConnection>& connection, const NodeReport& report)
    {
        NodeReportReply reply;
        reply.epoch = m_leadership.epoch();
        const auto now = clockReading();
        reply.leads = m_controller && m_leadership.mayGrantPermits(now.steady, m_settings.passiveGrace);
        if (!reply.leads)
            return reply;
        reply.active = m_leadership.isHeld(now.steady);
        auto& known = m_connections[report.node];
        // Reports in flight on an older connection must not be processed after newer ones.
        if (known && known != connection)
            known->close();
        known = connection;
        m_controller->onReport(report, now);
        const auto permit = m_controller->grantPermit(report, now.steady);
        reply.permitMs
            = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(permit).count());
        reply.endsStored = m_controller->endsStored(report.node, report.lifetime);
        m_wakeUp.wake();
        return reply;
    }

    /**
     * @brief Answers a candidate that asks whether this process leads.
     * @param inquiry The inquiry.
     * @param incarnation Incarnation of this process.
     * @return The answer.
     */
    [[nodiscard]] LeaseInquiryReply onInquiry(const LeaseInquiry& inquiry, std::uint64_t incarnation)
    {
        const auto now = BootClock {}.now();
        const bool leads = m_leadership.confirm(inquiry.incarnation, inquiry.epoch, now);
        // Closes the connections so that agents look for the successor at once instead of at their next report. An
        // inquiry about an earlier term does not affect the present one, so only a lease that is not held counts.
        if (!leads && m_controller && !m_leadership.isHeld(now))
            closeConnections();
        return { incarnation, leads };
    }

    /*! @brief The controller of the present term, or null. */
    [[nodiscard]] const Controller* controller() const { return m_controller.get(); }

private:
    [[nodiscard]] static ClockReading clockReading() { return { BootClock {}.now(), unixMillis() }; }

    void spawn(std::string name, Awaitable<> (LeaderHost::*loop)())
    {
        const auto self = this->shared_from_this();
        asio::co_spawn(
            m_executor, keepRunning(std::move(name), [self, loop] { return ((*self).*loop)(); }), asio::detached);
    }

    /*! @brief Returns the maximum age of the operators' state for a start; the rest of the bound is left for the order
     * to reach the executor. */
    [[nodiscard]] Duration maxOperatorStateAge() const { return m_settings.bounds.configApply * 4 / 5; }

    /*! @brief Returns the maximum age of the known cancellations for a start; the rest of the bound is left for the
     * order to reach the executor. */
    [[nodiscard]] Duration maxIntakeAge() const { return m_settings.bounds.cancelApply * 3 / 5; }

    /*! @brief Checks if the operators' state and the cancellations are known well enough for starts. */
    [[nodiscard]] bool mayStart(const ClockReading& now)
    {
        const auto intakeAge = now.steady - m_intakeConfirmedAt;
        const bool isIntakeCurrent = intakeAge <= maxIntakeAge();
        if (std::exchange(m_wasIntakeCurrent, isIntakeCurrent) != isIntakeCurrent)
            logEvent(isIntakeCurrent ? "intake_current" : "intake_outdated",
                { { "epoch", m_leadership.epoch().value() },
                    { "age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(intakeAge).count() } });
        return isIntakeCurrent && m_watcher.state().config && m_watcher.age(now.steady) <= maxOperatorStateAge();
    }

    void closeConnections()
    {
        for (const auto& [node, connection] : std::exchange(m_connections, {}))
            connection->close();
    }

    [[nodiscard]] Awaitable<> leaseLoop()
    {
        while (true) {
            const auto begun = BootClock {}.now();
            const auto change = co_await m_leadership.step();
            if (change == LeadershipChange::taken) {
                m_takeovers.add();
                const auto term = ++m_term;
                const auto self = this->shared_from_this();
                asio::co_spawn(
                    m_executor, [self, term]() -> Awaitable<> { co_await self->termLoop(term); }, asio::detached);
                asio::co_spawn(
                    m_executor, [self, term]() -> Awaitable<> { co_await self->cleanUpLoop(term); }, asio::detached);
            } else if (change == LeadershipChange::lost) {
                ++m_term;
                m_controller.reset();
                closeConnections();
            }
            // The next renewal is due one interval after this one was sent, however slow the answer was.
            const auto rest = m_leadership.stepInterval() - (BootClock {}.now() - begun);
            co_await sleepFor(std::max<Duration>(rest, minLeaseInterval));
        }
    }

    /*! @brief Reads all rows, then follows new submissions until the term ends. */
    [[nodiscard]] Awaitable<> termLoop(std::uint64_t term)
    {
        std::optional<std::uint64_t> version;
        bool isFenced = false;
        m_controller.reset();
        while (m_term == term) {
            bool failed = false;
            try {
                if (!isFenced)
                    isFenced = co_await m_leadership.raiseFence();
                else if (!version)
                    version = co_await rebuild(term);
                else
                    version = co_await follow(term, *version);
            } catch (const std::exception& error) {
                failed = true;
                if (!std::exchange(m_isSubmissionFeedDown, true))
                    logEvent("intake_unreachable",
                        { { "epoch", m_leadership.epoch().value() }, { "reason", error.what() } });
            }
            if (failed)
                co_await sleepFor(retryPause);
            else if (std::exchange(m_isSubmissionFeedDown, false))
                logEvent("intake_regained", { { "epoch", m_leadership.epoch().value() } });
        }
    }

    [[nodiscard]] Awaitable<std::uint64_t> rebuild(std::uint64_t term)
    {
        const auto sent = BootClock {}.now();
        std::vector<Awaitable<RowList>> reads;
        reads.reserve(RowNames::submissionShards + 1);
        for (unsigned shard = 0; shard < RowNames::submissionShards; ++shard)
            reads.push_back(readShard(shard));
        RowRange progressRange { std::string { RowNames::progressTable }, m_names.partition, {}, {} };
        reads.push_back(m_store.list(std::move(progressRange), answerTimeout));
        const auto settled = co_await whenAll(std::move(reads));
        RowList submissions;
        submissions.version = std::numeric_limits<std::uint64_t>::max();
        std::uint64_t newestVersion = 0;
        for (const auto& it : settled) {
            if (it.error)
                std::rethrow_exception(it.error);
            // The feed continues from the oldest of the lists, so that no change between two lists is missed.
            submissions.version = std::min(submissions.version, it.value.version);
            newestVersion = std::max(newestVersion, it.value.version);
            if (&it != &settled.back())
                std::ranges::copy(it.value.rows, std::back_inserter(submissions.rows));
        }
        const auto& progress = settled.back().value;
        if (m_term != term)
            co_return submissions.version;
        const auto now = clockReading();
        if (!m_controller)
            m_controller = std::make_unique<Controller>(m_settings, m_leadership.epoch(), now.steady, m_metrics);
        std::map<std::string, const StoredRow*> progressOf;
        for (const auto& it : progress.rows)
            progressOf[it.name.key] = &it;
        for (const auto& it : submissions.rows) {
            if (!it.name.key.starts_with(RowNames::jobPrefix))
                continue;
            const auto id = it.name.key.substr(RowNames::jobPrefix.size());
            const auto row = progressOf.find(id);
            if (row == progressOf.end())
                admitJob(id, it, {}, 0, now);
            else
                admitJob(id, it, row->second->value, row->second->version, now);
        }
        for (const auto& it : submissions.rows)
            applyCancellation(it, now);
        m_orphans = findOrphanedProgress(submissions, progress);
        m_listedVersion = newestVersion;
        m_followedVersion = 0;
        m_intakeConfirmedAt = sent;
        logEvent("state_rebuilt",
            { { "epoch", m_leadership.epoch().value() }, { "jobs", m_controller->jobs().size() },
                { "runs", m_controller->liveRuns().size() }, { "store_version", submissions.version } });
        m_wakeUp.wake();
        co_return submissions.version;
    }

    [[nodiscard]] Awaitable<RowList> readShard(unsigned shard)
    {
        RowRange range { std::string { RowNames::submissionTable }, m_names.submissionPartition(shard), {}, {} };
        co_return co_await m_store.list(std::move(range), answerTimeout);
    }

    [[nodiscard]] Awaitable<std::optional<std::uint64_t>> follow(std::uint64_t term, std::uint64_t after)
    {
        std::string table { RowNames::submissionTable };
        // After a failure an immediate answer shows at once that the store is back.
        const auto wait = m_isSubmissionFeedDown ? Duration {} : feedWait;
        const auto sent = BootClock {}.now();
        const auto changes = co_await m_store.changes(std::move(table), after, wait, wait + answerTimeout);
        if (changes.isHistoryLost) {
            logEvent("intake_history_lost", { { "version", after } });
            co_return std::nullopt;
        }
        if (m_term != term || !m_controller)
            co_return changes.version;
        m_followedVersion = std::max(after, changes.version);
        const auto now = clockReading();
        for (const auto& it : changes.rows) {
            if (it.isRemoved || !it.name.key.starts_with(RowNames::jobPrefix))
                continue;
            admitJob(it.name.key.substr(RowNames::jobPrefix.size()), it, {}, 0, now);
        }
        for (const auto& it : changes.rows)
            applyCancellation(it, now);
        // The store says that nothing has changed at the end of the wait; an earlier answer confirms less.
        const bool hasWaited = changes.rows.empty() && now.steady - sent >= wait;
        m_intakeConfirmedAt = hasWaited ? sent + wait : sent;
        if (!changes.rows.empty())
            m_wakeUp.wake();
        co_return std::max(after, changes.version);
    }

    void admitJob(const std::string& id, const StoredRow& row, std::string_view progress, std::uint64_t version,
        const ClockReading& now)
    {
        try {
            auto job = unpackValue<JobRow>(row.value);
            m_controller->addJob(id, std::move(job), progress, version, now.steady, row.version);
        } catch (const std::exception& error) {
            // Any exception that leaves this place would end each process that leads.
            m_unreadableJobs.add();
            logEvent("job_row_unreadable", { { "job", id }, { "version", row.version }, { "reason", error.what() } });
        }
    }

    void applyCancellation(const StoredRow& row, const ClockReading& now)
    {
        if (!row.isRemoved && row.name.key.starts_with(RowNames::cancelPrefix))
            m_controller->cancelJob(row.name.key.substr(RowNames::cancelPrefix.size()), now);
    }

    /*! @brief Removes rows of ended jobs in small batches, so that the store and the memory stay bounded. */
    [[nodiscard]] Awaitable<> cleanUpLoop(std::uint64_t term)
    {
        while (m_term == term) {
            co_await sleepFor(cleanUpInterval);
            const auto now = clockReading();
            // The feed may repeat changes that the lists already contained; such a change must not add a removed job
            // again.
            const bool isCaughtUp = m_followedVersion >= m_listedVersion;
            if (m_term != term || !m_controller || !isCaughtUp || !m_leadership.isHeld(now.steady))
                continue;
            const auto orphans = std::exchange(m_orphans, {});
            const auto ended = m_controller->removableJobs(now, jobsPerCleanUp);
            try {
                for (const auto& it : orphans)
                    co_await m_cleaner.removeOrphan(it);
                for (const auto& id : ended) {
                    if (m_term != term || !m_controller)
                        co_return;
                    const auto& job = m_controller->jobs().at(id);
                    EndedJobRows rows { id, job.jobRowVersion, job.rowVersion,
                        job.progress.state == WorkloadState::cancelled };
                    co_await m_cleaner.remove(std::move(rows), m_leadership.fence());
                    if (m_term != term || !m_controller)
                        co_return;
                    m_controller->removeJob(id);
                }
            } catch (const std::exception& error) {
                logEvent("clean_up_failed", { { "epoch", m_leadership.epoch().value() }, { "reason", error.what() } });
            }
        }
    }

    [[nodiscard]] Awaitable<> workLoop()
    {
        while (true) {
            auto pause = idleInterval;
            const auto now = clockReading();
            if (m_controller && m_leadership.isHeld(now.steady)) {
                if (const auto due = decide(now))
                    pause = std::clamp(std::chrono::milliseconds { *due - now.unixMs }, std::chrono::milliseconds { 1 },
                        std::chrono::duration_cast<std::chrono::milliseconds>(idleInterval));
                if (!co_await storeChanges())
                    pause = retryPause;
                sendOrders();
                if (m_controller && m_hasMore)
                    pause = std::chrono::milliseconds { 0 };
            }
            co_await m_wakeUp.wait(pause);
        }
    }

    [[nodiscard]] std::optional<std::int64_t> decide(const ClockReading& now)
    {
        const auto& state = m_watcher.state();
        m_controller->superviseRuns(now);
        if (!mayStart(now))
            return std::nullopt;
        m_controller->setConfig(state.config);
        m_controller->setZonesOutOfService(state.zonesOut);
        return m_controller->plan(now);
    }

    /*! @brief Stores changed progress rows; returns false if the store did not commit them. */
    [[nodiscard]] Awaitable<bool> storeChanges()
    {
        const auto writes = m_controller->pendingWrites(rowsPerCommit);
        m_hasMore = false;
        if (writes.empty())
            co_return true;
        const auto term = m_term;
        RowTransaction transaction;
        transaction.conditions.push_back(m_leadership.fence());
        for (const auto& it : writes) {
            transaction.conditions.push_back({ m_names.progress(it.job), it.rowVersion });
            transaction.writes.push_back({ m_names.progress(it.job), it.value });
        }
        const auto sent = BootClock {}.now();
        RowCommit commit;
        try {
            commit = co_await m_store.commit(std::move(transaction), answerTimeout);
        } catch (const Error& error) {
            m_commitFailures.add();
            const bool isRefused = error.kind() == ErrorKind::invalidArgument && m_term == term && m_controller;
            if (isRefused)
                m_controller->onWritesRefused(writes, clockReading());
            m_hasMore = isRefused;
            logEvent("progress_commit_failed",
                { { "rows", writes.size() }, { "epoch", m_leadership.epoch().value() }, { "reason", error.what() } });
            co_return isRefused;
        }
        if (m_term != term || !m_controller)
            co_return true;
        m_commitMs.record(std::chrono::duration<double, std::milli> { BootClock {}.now() - sent }.count());
        if (commit.isCommitted) {
            for (const auto& it : writes)
                m_controller->markStored(it, commit.version);
            m_hasMore = m_controller->hasPendingWrites();
            co_return true;
        }
        adoptVersions(writes, commit);
        co_return false;
    }

    /*! @brief Adopts the versions of rows that an earlier commit without an answer has written. */
    void adoptVersions(const std::vector<ProgressWrite>& writes, const RowCommit& commit)
    {
        for (const auto& row : commit.current) {
            const auto it = std::ranges::find_if(
                writes, [&](const auto& write) { return m_names.progress(write.job) == row.name; });
            if (it != writes.end() && row.version != it->rowVersion)
                m_controller->setRowVersion(it->job, row.version);
        }
        logEvent("progress_commit_conflict", { { "rows", writes.size() }, { "epoch", m_leadership.epoch().value() } });
    }

    void sendOrders()
    {
        const auto now = clockReading();
        const auto& state = m_watcher.state();
        if (!m_controller || !m_leadership.isHeld(now.steady) || !mayStart(now))
            return;
        m_controller->setZonesOutOfService(state.zonesOut);
        for (auto& [node, orders] : m_controller->takeOrders(now)) {
            const auto connection = m_connections.find(node);
            if (connection == m_connections.end() || !connection->second->isOpen())
                continue;
            orders.endsStored = m_controller->endsStored(node, orders.lifetime);
            const auto self = this->shared_from_this();
            for (auto& it : splitOrders(std::move(orders))) {
                asio::co_spawn(
                    m_executor,
                    [self, target = node, batch = std::move(it), link = connection->second, term = m_term]() mutable
                    -> Awaitable<> { co_await self->deliver(target, std::move(batch), link, term); },
                    asio::detached);
            }
        }
    }

    [[nodiscard]] Awaitable<> deliver(
        std::string node, NodeOrders orders, std::shared_ptr<RpcConnection> connection, std::uint64_t term)
    {
        const auto lifetime = orders.lifetime;
        const auto count = orders.orders.size();
        NodeOrdersReply reply;
        try {
            reply = co_await connection->call<NodeOrdersReply>(std::move(orders), orderTimeout);
        } catch (const Error& error) {
            logEvent("orders_unanswered", { { "node", node }, { "orders", count }, { "reason", error.what() } });
            co_return;
        }
        if (m_term != term || !m_controller)
            co_return;
        const auto now = clockReading();
        for (const auto& it : reply.outcomes)
            m_controller->onOutcome(node, lifetime, it, now);
        m_wakeUp.wake();
    }

    asio::any_io_executor m_executor;
    Store& m_store;
    OperatorWatcher<Store>& m_watcher;
    RowNames m_names;
    ControllerSettings m_settings;
    Metrics& m_metrics;
    RowCleaner<Store> m_cleaner;
    Leadership<Store, Probe> m_leadership;
    WakeUp m_wakeUp;
    std::unique_ptr<Controller> m_controller;
    std::uint64_t m_term { 0 };
    std::map<std::string, std::shared_ptr<RpcConnection>> m_connections;
    bool m_hasMore { false };
    /*! @brief Newest store version of the lists that the state was rebuilt from, and of the changes applied since. */
    std::uint64_t m_listedVersion { 0 };
    std::uint64_t m_followedVersion { 0 };
    /*! @brief Time up to which all submissions and cancellations are known. */
    TimePoint m_intakeConfirmedAt { -std::chrono::hours { 24 } };
    bool m_wasIntakeCurrent { true };
    std::vector<RowCondition> m_orphans;
    bool m_isSubmissionFeedDown { false };
    LatencyHistogram& m_commitMs;
    Counter& m_takeovers;
    Counter& m_commitFailures;
    Counter& m_unreadableJobs;
};

}
