#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/wire/node_messages.h"

#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief State and properties that an executor announces to its agent. */
struct ExecutorAnnouncement {
    Lifetime lifetime;
    /*! @brief Increases with each announcement of the same lifetime. */
    std::uint64_t sequence { 0 };
    ExecutorState state { ExecutorState::ready };
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    ResourceVector capacity;
    /*! @brief While draining: minimum time until the executor departs, ms. */
    std::uint64_t remainingMs { 0 };
};

/*! @brief Result of a call to an executor. */
enum class ExecutorAnswerKind : std::uint8_t {
    accepted,
    /*! @brief Permanently refused; the reason is in the answer. */
    refused,
    /*! @brief Nothing was executed; a retry may succeed. */
    unavailable,
    /*! @brief An executor of another lifetime answered at this address. */
    wrongLifetime,
    /*! @brief No valid answer; the executor may have executed the call or may still execute it. */
    unanswered,
};

/*! @brief Answer of an executor to a call. */
struct ExecutorAnswer {
    ExecutorAnswerKind kind { ExecutorAnswerKind::unanswered };
    std::string reason;
    /*! @brief Executor's clock, ms; set only if the answer had a body. */
    std::optional<std::int64_t> clockMs;
    /*! @brief Unix time of the executor's start, ms; set only if the executor reported it. */
    std::optional<std::int64_t> startedUnixMs;
};

/*! @brief Request to start a run. */
struct RunStart {
    Lifetime lifetime;
    std::uint64_t epoch { 0 };
    std::string task;
    std::uint64_t run { 0 };
    std::string payload;
    std::string checkpoint;
    /*! @brief End of the lease on the executor's clock, ms. */
    std::int64_t leaseEndMs { 0 };
    /*! @brief The start is not sent after this time, since its decision is outdated then; nothing for no limit. */
    std::optional<TimePoint> sendBefore;
};

/*! @brief Request to stop a run, or to prevent its start if it has not started. */
struct RunStop {
    Lifetime lifetime;
    std::uint64_t epoch { 0 };
    std::string task;
    std::uint64_t run { 0 };
};

/*! @brief Request that extends the executor's lease and returns its lists of running and ended runs. */
struct HoldRequest {
    Lifetime lifetime;
    std::uint64_t epoch { 0 };
    /*! @brief The executor removes ends up to and including this number. */
    std::uint64_t endsSeen { 0 };
    /*! @brief End of the lease on the executor's clock, ms; without a value the lease is not changed. */
    std::optional<std::int64_t> leaseEndMs;
    /*! @brief Maximum time that the executor waits for a run to end before it answers, ms. */
    std::int64_t waitMs { 0 };
};

/*! @brief Answer to HoldRequest. */
struct HoldAnswer {
    ExecutorAnswer answer;
    std::vector<RunningTask> running;
    std::vector<RunEnd> ended;
    /*! @brief Complete only if the executor is known to have listed all its runs and ends. */
    ListExtent extent { ListExtent::partial };
    /*! @brief The answer is that of a verification call, which carried neither the acknowledgement nor the lease of the
     * request, or no connection was made; the caller sends the request again. */
    bool isVerification { false };
};

/**
 * @brief Client interface to the executor on the same VM; no call throws.
 *
 * - `start(RunStart, timeout)` and `stop(RunStop, timeout)` return an ExecutorAnswer.
 * - `hold(HoldRequest, timeout)` returns a HoldAnswer.
 */
template <typename Type>
concept ExecutorControl = requires(Type& control, RunStart start, RunStop stop, HoldRequest hold, Duration timeout)
{
    {
        control.start(start, timeout)
        } -> std::same_as<Awaitable<ExecutorAnswer>>;
    {
        control.stop(stop, timeout)
        } -> std::same_as<Awaitable<ExecutorAnswer>>;
    {
        control.hold(hold, timeout)
        } -> std::same_as<Awaitable<HoldAnswer>>;
};

/**
 * @brief Connection to the executor on the same VM that never reconnects, so one process answers all its calls; no call
 * throws.
 *
 * - `start`, `stop` and `hold` as in ExecutorControl.
 * - `isOpen()` returns false after an unanswered call, or if the executor ended the connection.
 */
template <typename Type>
concept ExecutorConnection = ExecutorControl<Type> && requires(const Type& connection)
{
    {
        connection.isOpen()
        } -> std::same_as<bool>;
};

/**
 * @brief Opens connections to the executor on the same VM; no call throws.
 *
 * - `Connection` is a model of ExecutorConnection.
 * - `connect(timeout)` returns a connection, or null if none was made within the timeout.
 */
template <typename Type>
concept ExecutorTransport = ExecutorConnection<typename Type::Connection> && requires(Type& transport, Duration timeout)
{
    {
        transport.connect(timeout)
        } -> std::same_as<Awaitable<std::unique_ptr<typename Type::Connection>>>;
};

}
