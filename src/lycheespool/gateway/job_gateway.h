#pragma once

#include "lycheespool/cluster/operator_config.h"
#include "lycheespool/cluster/row_names.h"
#include "lycheespool/core/boot_clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/core/event_log.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/gateway/job_directory.h"
#include "lycheespool/gateway/retry_advice.h"
#include "lycheespool/net/sleep.h"
#include "lycheespool/store/row_store.h"
#include "lycheespool/workload/job_request.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace lycheespool {

/*! @brief What became of a submission or cancellation. */
enum class GatewayResult : std::uint8_t {
    /*! @brief Stored. */
    accepted,
    /*! @brief Certainly not stored, now or later; the client may come back. */
    rejected,
    /*! @brief The store did not answer, so the write may take effect. */
    unknown,
    /*! @brief There is no such job. */
    notFound,
};

/**
 * @brief Accepts, shows and cancels jobs at any entry; the store is the only meeting point of the entries.
 *
 * Lives on one thread.
 *
 * @tparam Store Model of RowStore.
 */
template <RowStore Store>
class JobGateway {
public:
    /*! @brief Longest time for one answer of the store; a second attempt fits before clients give up. */
    static constexpr Duration attemptTimeout = std::chrono::milliseconds { 900 };
    /*! @brief Pause before the store is asked again after it turned a call away. */
    static constexpr Duration retryPause = std::chrono::milliseconds { 60 };
    /*! @brief Longest wait of a feed for changed states. */
    static constexpr Duration feedWait = std::chrono::milliseconds { 1000 };
    /*! @brief Pause between two calls of a busy feed; delays the states that clients see. */
    static constexpr Duration feedPause = std::chrono::milliseconds { 80 };
    /*! @brief Time for which the store counts as slow after it exceeded attemptTimeout. */
    static constexpr Duration slowMemory = std::chrono::seconds { 3 };
    /*! @brief A store that answered nothing for this long is taken as away; its feeds answer each 1.4 s when it is
     * slow. */
    static constexpr Duration silenceLimit = std::chrono::milliseconds { 2000 };
    /*! @brief States older than this are confirmed by a read before a job is denied. */
    static constexpr Duration freshness = std::chrono::milliseconds { 1500 };

    /**
     * @brief Makes a gateway.
     * @param store The store; must outlive the gateway.
     * @param names Names of the rows.
     * @param metrics Registry for counters.
     */
    JobGateway(Store& store, RowNames names, Metrics& metrics)
        : m_store { store }
        , m_names { std::move(names) }
        , m_accepted { metrics.counter("jobs_accepted_total") }
        , m_repeated { metrics.counter("jobs_repeated_total") }
        , m_rejected { metrics.counter("jobs_rejected_total") }
        , m_unknown { metrics.counter("jobs_unknown_outcome_total") }
        , m_acceptMs { metrics.histogram("job_accept_ms") }
    {
    }

    /**
     * @brief Stores a job once; a job that is stored already counts as accepted.
     * @param id Name of the job, chosen by the client.
     * @param row The job.
     * @param deadline Time by which the client needs an answer.
     * @return accepted, rejected or unknown.
     */
    [[nodiscard]] Awaitable<GatewayResult> submit(std::string id, JobRow row, TimePoint deadline)
    {
        const auto begun = BootClock {}.now();
        RowTransaction transaction;
        transaction.conditions.push_back({ m_names.job(id), 0 });
        transaction.writes.push_back({ m_names.job(id), packValue(row) });
        bool isRepeated = false;
        const auto result = co_await write(transaction, deadline, [&](const RowCommit& commit) {
            isRepeated = !commit.isCommitted;
            if (commit.isCommitted)
                m_directory.insert(id, WorkloadState::pending, row.queue, 0);
        });
        const auto tookMs = std::chrono::duration<double, std::milli> { BootClock {}.now() - begun }.count();
        count(result, isRepeated, tookMs);
        logEvent("job_submitted",
            { { "job", id }, { "queue", row.queue }, { "workspace", row.workspace },
                { "result", static_cast<int>(result) }, { "repeated", isRepeated }, { "took_ms", tookMs },
                { "states_age_ms", stateAgeMs() } });
        co_return result;
    }

    /**
     * @brief Stores a cancellation.
     * @param id Name of the job.
     * @param deadline Time by which the client needs an answer.
     * @return accepted, notFound, rejected or unknown.
     */
    [[nodiscard]] Awaitable<GatewayResult> cancel(std::string id, TimePoint deadline)
    {
        const auto known = co_await find(id);
        if (!known) {
            logEvent("job_cancelled", { { "job", id }, { "result", static_cast<int>(GatewayResult::rejected) } });
            co_return GatewayResult::rejected;
        }
        if (!*known)
            co_return GatewayResult::notFound;
        if (isEnded((*known)->state))
            co_return GatewayResult::accepted;
        RowTransaction transaction;
        transaction.writes.push_back({ m_names.cancel(id), std::string {} });
        const auto result = co_await write(transaction, deadline, [](const RowCommit&) {});
        logEvent("job_cancelled",
            { { "job", id }, { "result", static_cast<int>(result) }, { "states_age_ms", stateAgeMs() } });
        co_return result;
    }

    /**
     * @brief Finds a job.
     * @param id Name of the job.
     * @return The job, an inner nothing when there is none, an outer nothing when the store does not tell.
     */
    [[nodiscard]] Awaitable<std::optional<std::optional<JobSummary>>> find(std::string id)
    {
        const bool isFresh = BootClock {}.now() - m_confirmedAt <= freshness;
        const auto known = m_directory.find(id);
        if (known && (isFresh || isEnded(known->state)))
            co_return std::optional { known };
        RowRange range { std::string { RowNames::progressTable }, m_names.partition, id, id + '\0' };
        const auto job = m_names.job(id);
        RowRange intake { job.table, job.partition, job.key, job.key + '\0' };
        try {
            const auto list = co_await m_store.list(std::move(range), attemptTimeout);
            if (!list.rows.empty()) {
                m_directory.update(id, list.rows.front().value, list.rows.front().version);
                co_return std::optional { m_directory.find(id) };
            }
            // The leader has not taken the job in yet, or there is none.
            const auto accepted = co_await m_store.list(std::move(intake), attemptTimeout);
            if (accepted.rows.empty())
                co_return std::optional<std::optional<JobSummary>> { std::optional<JobSummary> {} };
            const auto row = unpackValue<JobRow>(accepted.rows.front().value);
            m_directory.insert(id, WorkloadState::pending, row.queue, 0);
            co_return std::optional { m_directory.find(id) };
        } catch (const Error& error) {
            logEvent(
                "job_state_unreadable", { { "job", id }, { "reason", error.what() }, { "known", known.has_value() } });
        }
        // Ended states never change, and others are shown as last seen while the store is away.
        if (known)
            co_return std::optional { known };
        co_return std::nullopt;
    }

    /**
     * @brief Counts the jobs of a queue that have not begun.
     * @param queue Name of the queue.
     * @return Number of jobs.
     */
    [[nodiscard]] std::int64_t pendingIn(const std::string& queue) const { return m_directory.pendingIn(queue); }

    /**
     * @brief Tells when a rejected client should come back.
     * @param patience Time for which the client still waits, further attempts included.
     * @param objective Latency objective of the call's work; zero when it has none or is not known.
     * @return Whole seconds.
     */
    [[nodiscard]] std::chrono::seconds retryAfter(Duration patience, Duration objective = {}) const
    {
        return adviseRetry({ objective, patience, m_isDown || silence() > silenceLimit });
    }

    /**
     * @brief Tells whether the store answered lately.
     * @return False while submissions would fail.
     */
    [[nodiscard]] bool isStoreReachable() const { return !m_isDown && silence() <= silenceLimit; }

    /*! @brief Follows the states of jobs until the context ends. */
    [[nodiscard]] Awaitable<> run()
    {
        while (true) {
            bool failed = false;
            try {
                co_await step();
            } catch (const Error& error) {
                failed = true;
                if (!std::exchange(m_isDown, true))
                    logEvent("states_unreachable", { { "reason", error.what() }, { "age_ms", stateAgeMs() } });
            }
            if (failed)
                co_await sleepFor(retryPause);
            else if (std::exchange(m_isDown, false))
                logEvent("states_regained", { { "jobs", m_directory.size() }, { "version", m_version } });
        }
    }

    /**
     * @brief Tells whether the store has answered no call of this process since a time.
     * @param since The time.
     * @return True while the store is silent, not merely slow.
     */
    [[nodiscard]] bool isStoreSilentSince(TimePoint since) const { return m_store.answeredAt() < since; }

private:
    /*! @brief Time since the store answered last. */
    [[nodiscard]] Duration silence() const { return BootClock {}.now() - m_store.answeredAt(); }

    [[nodiscard]] std::int64_t stateAgeMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(BootClock {}.now() - m_confirmedAt).count();
    }

    void count(GatewayResult result, bool isRepeated, double tookMs)
    {
        if (result == GatewayResult::accepted) {
            (isRepeated ? m_repeated : m_accepted).add();
            m_acceptMs.record(tookMs);
        } else if (result == GatewayResult::rejected) {
            m_rejected.add();
        } else {
            m_unknown.add();
        }
    }

    /*! @brief Commits until there is an answer. Once an attempt has no answer, the outcome is accepted or unknown. */
    template <typename Settled>
    [[nodiscard]] Awaitable<GatewayResult> write(RowTransaction transaction, TimePoint deadline, Settled settled)
    {
        // Without an attempt nothing can take effect, so the client may go elsewhere at once.
        if (silence() > silenceLimit)
            co_return GatewayResult::rejected;
        bool mayTakeEffect = false;
        unsigned refusals = 0;
        while (true) {
            const auto left = deadline - BootClock {}.now();
            if (left < 2 * retryPause)
                co_return mayTakeEffect ? GatewayResult::unknown : GatewayResult::rejected;
            auto attempt = transaction;
            // A slow store answers after seconds; asking again before that only fills its queue.
            const bool isSlow = mayTakeEffect || BootClock {}.now() < m_slowUntil;
            const auto timeout = isSlow ? left - retryPause : std::min<Duration>(attemptTimeout, left - retryPause);
            std::optional<RowCommit> commit;
            try {
                commit = co_await m_store.commit(std::move(attempt), timeout);
            } catch (const Error& error) {
                const bool isDefinite = error.kind() == ErrorKind::unavailable || error.kind() == ErrorKind::overloaded;
                mayTakeEffect = mayTakeEffect || !isDefinite;
                if (!isDefinite)
                    m_slowUntil = BootClock {}.now() + slowMemory;
                ++refusals;
                logEvent("store_write_failed",
                    { { "row", transaction.writes.front().name.key }, { "reason", error.what() },
                        { "may_happen", mayTakeEffect }, { "attempt", refusals } });
            }
            if (commit) {
                settled(*commit);
                co_return GatewayResult::accepted;
            }
            // A caller that can go to another entry should do so at once; only one more attempt is made here.
            if (!mayTakeEffect && refusals >= 2)
                co_return GatewayResult::rejected;
            co_await sleepFor(retryPause);
        }
    }

    [[nodiscard]] Awaitable<> step()
    {
        const auto sent = BootClock {}.now();
        if (!m_isListed) {
            RowRange range { std::string { RowNames::progressTable }, m_names.partition, {}, {} };
            const auto list = co_await m_store.list(std::move(range), attemptTimeout);
            m_directory.clear();
            for (const auto& it : list.rows)
                takeIn(it);
            m_version = list.version;
            m_isListed = true;
        } else {
            std::string table { RowNames::progressTable };
            const auto changes
                = co_await m_store.changes(std::move(table), m_version, feedWait, feedWait + attemptTimeout);
            if (changes.isHistoryLost) {
                logEvent("states_history_lost", { { "version", m_version } });
                m_isListed = false;
                co_return;
            }
            for (const auto& it : changes.rows)
                takeIn(it);
            m_version = std::max(m_version, changes.version);
            if (changes.rows.empty()) {
                // The store waited before it answered that nothing had changed.
                m_confirmedAt = sent + feedWait;
                co_return;
            }
            // Each change of any job ends the wait of all entries, so that the calls are spaced out.
            co_await sleepFor(feedPause);
        }
        m_confirmedAt = sent;
    }

    void takeIn(const StoredRow& row)
    {
        if (row.isRemoved) {
            m_directory.remove(row.name.key);
            return;
        }
        try {
            m_directory.update(row.name.key, row.value, row.version);
        } catch (const Error& error) {
            logEvent("state_row_unreadable", { { "job", row.name.key }, { "reason", error.what() } });
        }
    }

    Store& m_store;
    RowNames m_names;
    JobDirectory m_directory;
    std::uint64_t m_version { 0 };
    bool m_isListed { false };
    bool m_isDown { false };
    TimePoint m_confirmedAt { -std::chrono::hours { 24 } };
    TimePoint m_slowUntil { -std::chrono::hours { 24 } };
    Counter& m_accepted;
    Counter& m_repeated;
    Counter& m_rejected;
    Counter& m_unknown;
    LatencyHistogram& m_acceptMs;
};

}
