#pragma once

#include "lycheespool/cluster/operator_config.h"
#include "lycheespool/cluster/row_names.h"
#include "lycheespool/core/boot_clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/core/event_log.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/gateway/job_directory.h"
#include "lycheespool/gateway/retry_after.h"
#include "lycheespool/net/sleep.h"
#include "lycheespool/store/row_store.h"
#include "lycheespool/workload/job_request.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <limits>
#include <optional>
#include <string>
#include <utility>

namespace lycheespool {

/*! @brief Outcome of a submission or cancellation. */
enum class GatewayResult : std::uint8_t {
    /*! @brief Stored. */
    accepted,
    /*! @brief Not stored, and will not be stored later; the client may retry. */
    rejected,
    /*! @brief The store did not answer, so the write may take effect. */
    unknown,
    /*! @brief The job does not exist. */
    notFound,
};

/**
 * @brief Accepts, shows and cancels jobs at any entry; entries share state only through the store.
 *
 * Must be used from one thread.
 *
 * @tparam Store Type that satisfies RowStore.
 */
template <RowStore Store>
class JobGateway {
public:
    /*! @brief Timeout of one call to the store; short enough for a second attempt before clients give up. */
    static constexpr Duration attemptTimeout = std::chrono::milliseconds { 900 };
    /*! @brief Delay before a call that the store refused is retried. */
    static constexpr Duration retryPause = std::chrono::milliseconds { 60 };
    /*! @brief Longest time that the store holds a feed call open while no state changes. */
    static constexpr Duration feedWait = std::chrono::milliseconds { 1000 };
    /*! @brief Delay between two calls of a busy feed; delays the states that clients see. */
    static constexpr Duration feedPause = std::chrono::milliseconds { 80 };
    /*! @brief Time for which the store is treated as slow after a call has exceeded attemptTimeout. */
    static constexpr Duration slowStorePeriod = std::chrono::seconds { 3 };
    /*! @brief A store that has not answered for this long is considered unreachable; a slow store still answers its
     * feeds every 1.4 s. */
    static constexpr Duration storeSilenceLimit = std::chrono::milliseconds { 2000 };
    /*! @brief States older than this are confirmed by a read before a job is reported as not found. */
    static constexpr Duration maxStateAge = std::chrono::milliseconds { 1500 };

    /**
     * @brief Constructs a gateway.
     * @param store The store; must outlive the gateway.
     * @param names Names of the rows.
     * @param metrics Registry for counters.
     * @param maxJobBytes Maximum size of an encoded job, bytes; the store takes no larger row.
     */
    JobGateway(Store& store, RowNames names, Metrics& metrics,
        std::size_t maxJobBytes = std::numeric_limits<std::size_t>::max())
        : m_store { store }
        , m_names { std::move(names) }
        , m_maxJobBytes { maxJobBytes }
        , m_accepted { metrics.counter("jobs_accepted_total") }
        , m_repeated { metrics.counter("jobs_repeated_total") }
        , m_rejected { metrics.counter("jobs_rejected_total") }
        , m_unknown { metrics.counter("jobs_unknown_outcome_total") }
        , m_acceptMs { metrics.histogram("job_accept_ms") }
    {
    }

    /**
     * @brief Stores a job once; a job that is already stored counts as accepted.
     * @param id Name of the job, chosen by the client.
     * @param row The job.
     * @param deadline Time by which the client needs an answer.
     * @return accepted, rejected or unknown.
     * @throws Error of kind invalidArgument if the job exceeds the size of a row.
     */
    [[nodiscard]] Awaitable<GatewayResult> submit(std::string id, JobRow row, TimePoint deadline)
    {
        const auto startedAt = BootClock {}.now();
        auto value = packValue(row);
        if (value.size() > m_maxJobBytes) {
            m_rejected.add();
            logEvent("job_too_large",
                { { "job", id }, { "queue", row.queue }, { "bytes", value.size() }, { "max_bytes", m_maxJobBytes } });
            throw Error { ErrorKind::invalidArgument,
                fmt::format("the job takes {} bytes, a row holds {}", value.size(), m_maxJobBytes),
                "use fewer steps or shorter texts" };
        }
        RowTransaction transaction;
        transaction.conditions.push_back({ m_names.job(id), 0 });
        transaction.writes.push_back({ m_names.job(id), std::move(value) });
        bool isRepeated = false;
        const auto result = co_await write(transaction, deadline, [&](const RowCommit& commit) {
            isRepeated = !commit.isCommitted;
            if (commit.isCommitted)
                m_directory.insert(id, WorkloadState::pending, row.queue, 0);
        });
        const auto tookMs = std::chrono::duration<double, std::milli> { BootClock {}.now() - startedAt }.count();
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
     * @return The job; an empty inner optional if it does not exist; an empty outer optional if the store does not
     * answer.
     */
    [[nodiscard]] Awaitable<std::optional<std::optional<JobSummary>>> find(std::string id)
    {
        const bool isFresh = BootClock {}.now() - m_confirmedAt <= maxStateAge;
        const auto known = m_directory.find(id);
        if (known && (isFresh || isEnded(known->state)))
            co_return std::optional { known };
        RowRange range { std::string { RowNames::progressTable }, m_names.partition, id, id + '\0' };
        const auto job = m_names.job(id);
        RowRange submission { job.table, job.partition, job.key, job.key + '\0' };
        try {
            const auto list = co_await m_store.list(std::move(range), attemptTimeout);
            if (!list.rows.empty()) {
                m_directory.update(id, list.rows.front().value, list.rows.front().version);
                co_return std::optional { m_directory.find(id) };
            }
            // Either the leader has not admitted the job yet, or the job does not exist.
            const auto accepted = co_await m_store.list(std::move(submission), attemptTimeout);
            if (accepted.rows.empty())
                co_return std::optional<std::optional<JobSummary>> { std::optional<JobSummary> {} };
            const auto row = unpackValue<JobRow>(accepted.rows.front().value);
            m_directory.insert(id, WorkloadState::pending, row.queue, 0);
            co_return std::optional { m_directory.find(id) };
        } catch (const Error& error) {
            logEvent(
                "job_state_unreadable", { { "job", id }, { "reason", error.what() }, { "known", known.has_value() } });
        }
        // Ended states never change; other states are shown as last seen while the store is unreachable.
        if (known)
            co_return std::optional { known };
        co_return std::nullopt;
    }

    /**
     * @brief Returns the number of pending jobs of a queue.
     * @param queue Name of the queue.
     * @return Number of jobs.
     */
    [[nodiscard]] std::int64_t pendingIn(const std::string& queue) const { return m_directory.pendingIn(queue); }

    /**
     * @brief Returns the time after which a rejected client should retry.
     * @param remainingWait Time for which the client still waits, including further attempts.
     * @param objective Latency objective of the call's work; zero if it has none or it is unknown.
     * @return Whole seconds.
     */
    [[nodiscard]] std::chrono::seconds retryAfter(Duration remainingWait, Duration objective = {}) const
    {
        return chooseRetryAfter({ objective, remainingWait, m_isStoreDown || storeSilence() > storeSilenceLimit });
    }

    /**
     * @brief Checks if the store is reachable.
     * @return False if the store has not answered recently, so that submissions would fail.
     */
    [[nodiscard]] bool isStoreReachable() const { return !m_isStoreDown && storeSilence() <= storeSilenceLimit; }

    /*! @brief Follows the states of jobs until the I/O context ends. */
    [[nodiscard]] Awaitable<> run()
    {
        while (true) {
            bool failed = false;
            try {
                co_await followStates();
            } catch (const std::exception& error) {
                failed = true;
                if (!std::exchange(m_isStoreDown, true))
                    logEvent("states_unreachable", { { "reason", error.what() }, { "age_ms", stateAgeMs() } });
            }
            if (failed)
                co_await sleepFor(retryPause);
            else if (std::exchange(m_isStoreDown, false))
                logEvent("states_regained", { { "jobs", m_directory.size() }, { "version", m_version } });
        }
    }

    /**
     * @brief Checks if the store has answered no call of this process since a point in time.
     * @param since The point in time.
     * @return True if the store is silent, rather than merely slow.
     */
    [[nodiscard]] bool isStoreSilentSince(TimePoint since) const { return m_store.answeredAt() < since; }

private:
    /*! @brief Time since the last answer of the store. */
    [[nodiscard]] Duration storeSilence() const { return BootClock {}.now() - m_store.answeredAt(); }

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

    /*! @brief Retries a commit until the store answers. After an unanswered attempt the outcome is accepted or unknown.
     */
    template <typename OnAnswered>
    [[nodiscard]] Awaitable<GatewayResult> write(RowTransaction transaction, TimePoint deadline, OnAnswered onAnswered)
    {
        // Without an attempt nothing can take effect, so the client may try another entry at once.
        if (storeSilence() > storeSilenceLimit)
            co_return GatewayResult::rejected;
        bool mayTakeEffect = false;
        unsigned refusals = 0;
        while (true) {
            const auto left = deadline - BootClock {}.now();
            if (left < 2 * retryPause)
                co_return mayTakeEffect ? GatewayResult::unknown : GatewayResult::rejected;
            auto attempt = transaction;
            // A slow store answers after seconds; earlier retries would only fill its queue.
            const bool isSlow = mayTakeEffect || BootClock {}.now() < m_slowUntil;
            const auto timeout = isSlow ? left - retryPause : std::min<Duration>(attemptTimeout, left - retryPause);
            std::optional<RowCommit> commit;
            try {
                commit = co_await m_store.commit(std::move(attempt), timeout);
            } catch (const Error& error) {
                const bool isDefinite = error.kind() == ErrorKind::unavailable || error.kind() == ErrorKind::overloaded;
                mayTakeEffect = mayTakeEffect || !isDefinite;
                if (!isDefinite)
                    m_slowUntil = BootClock {}.now() + slowStorePeriod;
                ++refusals;
                logEvent("store_write_failed",
                    { { "row", transaction.writes.front().name.key }, { "reason", error.what() },
                        { "may_happen", mayTakeEffect }, { "attempt", refusals } });
            }
            if (commit) {
                onAnswered(*commit);
                co_return GatewayResult::accepted;
            }
            // The caller can try another entry, so only one retry is made here.
            if (!mayTakeEffect && refusals >= 2)
                co_return GatewayResult::rejected;
            co_await sleepFor(retryPause);
        }
    }

    [[nodiscard]] Awaitable<> followStates()
    {
        const auto sent = BootClock {}.now();
        if (!m_isListed) {
            RowRange range { std::string { RowNames::progressTable }, m_names.partition, {}, {} };
            const auto list = co_await m_store.list(std::move(range), attemptTimeout);
            m_directory.clear();
            for (const auto& it : list.rows)
                applyRow(it);
            m_version = list.version;
            m_isListed = true;
        } else {
            std::string table { RowNames::progressTable };
            // After a failure an immediate answer shows at once that the store is back.
            const auto wait = m_isStoreDown ? Duration {} : feedWait;
            const auto changes = co_await m_store.changes(std::move(table), m_version, wait, wait + attemptTimeout);
            if (changes.isHistoryLost) {
                logEvent("states_history_lost", { { "version", m_version } });
                m_isListed = false;
                co_return;
            }
            for (const auto& it : changes.rows)
                applyRow(it);
            m_version = std::max(m_version, changes.version);
            if (changes.rows.empty()) {
                // The store held the call for the whole wait before it answered that nothing had changed.
                m_confirmedAt = sent + wait;
                co_return;
            }
            // A change of any job ends the wait of all entries; the delay limits the rate of their calls.
            co_await sleepFor(feedPause);
        }
        m_confirmedAt = sent;
    }

    void applyRow(const StoredRow& row)
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
    std::size_t m_maxJobBytes;
    JobDirectory m_directory;
    std::uint64_t m_version { 0 };
    bool m_isListed { false };
    bool m_isStoreDown { false };
    TimePoint m_confirmedAt { -std::chrono::hours { 24 } };
    TimePoint m_slowUntil { -std::chrono::hours { 24 } };
    Counter& m_accepted;
    Counter& m_repeated;
    Counter& m_rejected;
    Counter& m_unknown;
    LatencyHistogram& m_acceptMs;
};

}
