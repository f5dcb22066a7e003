#pragma once

#include "lycheespool/core/boot_clock.h"
#include "lycheespool/core/event_log.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/nodeagent/executor_control.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace lycheespool {

/**
 * @brief Sends each call over a connection to the executor lifetime that the call names; a model of ExecutorControl.
 *
 * An executor may restart under its id, so the id does not tell two lifetimes apart. A start, an acknowledgement of
 * ends or a lease that reaches a later lifetime has an effect there before its answer shows the mistake. A connection
 * ends with the process that accepted it. The first call on each connection therefore verifies which lifetime answers,
 * and changes nothing there. Only a connection to the expected lifetime carries the call.
 *
 * Single-threaded.
 *
 * @tparam Transport Model of ExecutorTransport.
 */
template <ExecutorTransport Transport>
class VerifiedConnections {
public:
    using Connection = typename Transport::Connection;

    /*! @brief Maximum number of idle connections. */
    static constexpr std::size_t maxIdleConnections = 64;
    /*! @brief Timeout of the first verification call; it doubles with each attempt on another connection. An answer
     * takes about 1 ms, and an executor that leaves some calls unanswered may answer the next one. */
    static constexpr Duration verificationTimeout = std::chrono::milliseconds { 100 };
    /*! @brief Maximum number of attempts for one call. An executor that resets its connections fails them at once, so
     * time alone does not limit them. */
    static constexpr unsigned maxVerificationAttempts = 3;
    /*! @brief Maximum time for all attempts. */
    static constexpr Duration maxVerificationTime = std::chrono::milliseconds { 700 };

    /**
     * @brief Constructs an object without connections.
     * @param transport Opens the connections; must outlive the object.
     * @param metrics Metrics registry.
     */
    VerifiedConnections(Transport& transport, Metrics& metrics)
        : m_transport { transport }
        , m_opened { metrics.counter("executor_connections_opened_total") }
        , m_unverified { metrics.counter("executor_connections_unverified_total") }
    {
    }

    /*! @brief Starts a run; see ExecutorControl. */
    [[nodiscard]] Awaitable<ExecutorAnswer> start(RunStart start, Duration timeout)
    {
        const auto lifetime = start.lifetime;
        auto acquired = co_await acquire(lifetime, start.epoch, "start", timeout);
        if (!acquired.connection)
            co_return std::move(acquired.answer);
        if (start.sendBefore && BootClock {}.now() > *start.sendBefore) {
            ExecutorAnswer expired;
            expired.kind = ExecutorAnswerKind::unavailable;
            expired.reason = "the decision expired while connecting";
            release(lifetime, std::move(acquired), expired);
            co_return expired;
        }
        auto answer = co_await acquired.connection->start(std::move(start), timeout);
        release(lifetime, std::move(acquired), answer);
        co_return answer;
    }

    /*! @brief Stops a run; see ExecutorControl. */
    [[nodiscard]] Awaitable<ExecutorAnswer> stop(RunStop stop, Duration timeout)
    {
        const auto lifetime = stop.lifetime;
        auto acquired = co_await acquire(lifetime, stop.epoch, "stop", timeout);
        if (!acquired.connection)
            co_return std::move(acquired.answer);
        auto answer = co_await acquired.connection->stop(std::move(stop), timeout);
        release(lifetime, std::move(acquired), answer);
        co_return answer;
    }

    /*! @brief Extends the lease and reads the running and ended runs; see ExecutorControl. */
    [[nodiscard]] Awaitable<HoldAnswer> hold(HoldRequest request, Duration timeout)
    {
        const auto lifetime = request.lifetime;
        auto acquired = co_await acquire(lifetime, request.epoch, "hold", timeout);
        if (!acquired.connection) {
            HoldAnswer rejected;
            rejected.answer = std::move(acquired.answer);
            rejected.isVerification = true;
            co_return rejected;
        }
        if (acquired.verification) {
            // The lists of the verification call are as new as those of another call would be.
            auto list = std::move(*acquired.verification);
            list.isVerification = true;
            release(lifetime, std::move(acquired), list.answer);
            co_return list;
        }
        auto answer = co_await acquired.connection->hold(std::move(request), timeout);
        release(lifetime, std::move(acquired), answer.answer);
        co_return answer;
    }

private:
    using ConnectionPtr = std::unique_ptr<Connection>;

    struct IdleConnection {
        ConnectionPtr connection;
        TimePoint openedAt {};
    };

    /*! @brief A connection to the expected lifetime, or the answer of the call that cannot be sent. */
    struct Acquired {
        ConnectionPtr connection;
        ExecutorAnswer answer;
        TimePoint openedAt {};
        /*! @brief Time at which the connection was handed out for a call. */
        TimePoint sentAt {};
        /*! @brief Answer of the verification call, if the connection is new. */
        std::optional<HoldAnswer> verification;
    };

    [[nodiscard]] static bool isOther(const Lifetime& lifetime, const ExecutorAnswer& answer)
    {
        return answer.startedUnixMs && *answer.startedUnixMs != lifetime.startedUnixMs;
    }

    /*! @brief Checks if an answer shows that the expected lifetime gave it. */
    [[nodiscard]] static bool isFrom(const Lifetime& lifetime, const ExecutorAnswer& answer)
    {
        return answer.kind == ExecutorAnswerKind::accepted
            && answer.startedUnixMs.value_or(0) == lifetime.startedUnixMs;
    }

    /*! @brief Takes an idle connection, or opens one and verifies its lifetime. */
    [[nodiscard]] Awaitable<Acquired> acquire(
        Lifetime lifetime, std::uint64_t epoch, const char* purpose, Duration timeout)
    {
        if (lifetime != m_lifetime) {
            m_idle.clear();
            m_lifetime = lifetime;
        }
        Acquired acquired;
        if (!m_idle.empty()) {
            acquired.connection = std::move(m_idle.back().connection);
            acquired.openedAt = m_idle.back().openedAt;
            m_idle.pop_back();
            acquired.sentAt = BootClock {}.now();
            co_return acquired;
        }
        const auto end = BootClock {}.now() + std::min(timeout, maxVerificationTime);
        auto attemptTimeout = std::min(timeout, verificationTimeout);
        ExecutorAnswer answer;
        for (unsigned i = 0; i < maxVerificationAttempts && attemptTimeout > Duration {}; ++i) {
            auto connection = co_await m_transport.connect(attemptTimeout);
            if (!connection) {
                acquired.answer.kind = ExecutorAnswerKind::unavailable;
                acquired.answer.reason = "cannot connect";
                co_return acquired;
            }
            m_opened.add();
            // Without an acknowledgement and a lease, the call changes nothing but the fencing number, which holds for
            // all lifetimes.
            HoldRequest request;
            request.lifetime = lifetime;
            request.epoch = epoch;
            auto list = co_await connection->hold(std::move(request), attemptTimeout);
            answer = list.answer;
            if (isFrom(lifetime, answer) && connection->isOpen()) {
                acquired.verification = std::move(list);
                acquired.connection = std::move(connection);
                acquired.sentAt = BootClock {}.now();
                acquired.openedAt = acquired.sentAt;
                co_return acquired;
            }
            if (answer.kind != ExecutorAnswerKind::unanswered)
                break;
            attemptTimeout = std::min(2 * attemptTimeout, end - BootClock {}.now());
        }
        acquired.answer = rejection(lifetime, std::move(answer));
        m_unverified.add();
        logEvent("executor_connection_unverified",
            { { "executor", lifetime.executor }, { "born", lifetime.startedUnixMs },
                { "answered_born", acquired.answer.startedUnixMs.value_or(0) }, { "call", purpose },
                { "kind", static_cast<int>(acquired.answer.kind) }, { "reason", acquired.answer.reason } });
        co_return acquired;
    }

    /*! @brief Returns the answer of a call that was not sent, since the lifetime of the connection is not the expected
     * one or is unknown. */
    [[nodiscard]] static ExecutorAnswer rejection(const Lifetime& lifetime, ExecutorAnswer answer)
    {
        if (answer.kind == ExecutorAnswerKind::wrongLifetime || answer.kind == ExecutorAnswerKind::refused)
            return answer;
        if (isOther(lifetime, answer)) {
            answer.kind = ExecutorAnswerKind::wrongLifetime;
            answer.reason = "another lifetime answers";
            return answer;
        }
        if (answer.kind == ExecutorAnswerKind::accepted)
            answer.reason
                = isFrom(lifetime, answer) ? "the executor ended the connection" : "no lifetime in the answer";
        // Only the verification call was sent, so the call itself was not executed.
        answer.kind = ExecutorAnswerKind::unavailable;
        return answer;
    }

    /*! @brief Keeps the connection of a call for later ones, unless its answer shows that it has ended, or names
     * another lifetime. */
    void release(const Lifetime& lifetime, Acquired used, ExecutorAnswer& answer)
    {
        if (isOther(lifetime, answer)) {
            // The call was executed by a lifetime that it did not name; its sender must not take that for success.
            answer.kind = answer.kind == ExecutorAnswerKind::accepted ? ExecutorAnswerKind::unanswered : answer.kind;
            answer.reason = "another lifetime answered";
            m_idle.clear();
            return;
        }
        if (answer.kind == ExecutorAnswerKind::unanswered) {
            // Connections can fall silent all at once. An older one that was answered since shows that they have not.
            if (m_answeredOpenedAt > used.sentAt || m_answeredAt < used.sentAt)
                m_idle.clear();
            return;
        }
        m_answeredOpenedAt = used.openedAt;
        m_answeredAt = BootClock {}.now();
        if (used.connection->isOpen() && lifetime == m_lifetime && m_idle.size() < maxIdleConnections)
            m_idle.push_back({ std::move(used.connection), used.openedAt });
    }

    Transport& m_transport;
    /*! @brief Lifetime of the idle connections. */
    Lifetime m_lifetime;
    std::vector<IdleConnection> m_idle;
    /*! @brief When the connection that was answered last was opened, and when it was answered. */
    TimePoint m_answeredOpenedAt {};
    TimePoint m_answeredAt {};
    Counter& m_opened;
    Counter& m_unverified;
};

}
