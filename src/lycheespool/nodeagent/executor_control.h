#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/wire/node_messages.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief What an executor says about itself. */
struct ExecutorAnnouncement {
    Lifetime lifetime;
    /*! @brief Grows with each announcement of a lifetime. */
    std::uint64_t sequence { 0 };
    ExecutorState state { ExecutorState::ready };
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    ResourceVector capacity;
    /*! @brief While draining: least time that the executor stays, ms. */
    std::uint64_t remainingMs { 0 };
};

/*! @brief How an executor answered a call. */
enum class ExecutorAnswerKind : std::uint8_t {
    accepted,
    /*! @brief Refused for good, for the reason given. */
    refused,
    /*! @brief Nothing was done; a later call may succeed. */
    unavailable,
    /*! @brief Another lifetime answers at this address. */
    wrongLifetime,
    /*! @brief No answer; the call may still be carried out, also later. */
    unanswered,
};

/*! @brief Answer of an executor. */
struct ExecutorAnswer {
    ExecutorAnswerKind kind { ExecutorAnswerKind::unanswered };
    std::string reason;
    /*! @brief Executor's clock, ms; only when there was an answer with a body. */
    std::optional<std::int64_t> clockMs;
    /*! @brief Unix time of the executor's start when it said so, ms. */
    std::optional<std::int64_t> bornUnixMs;
};

/*! @brief Starts a run. */
struct RunStart {
    Lifetime lifetime;
    std::uint64_t epoch { 0 };
    std::string task;
    std::uint64_t run { 0 };
    std::string payload;
    std::string checkpoint;
    /*! @brief End of the lease on the executor's clock, ms. */
    std::int64_t leaseEndMs { 0 };
};

/*! @brief Stops a run, or rules its start out. */
struct RunStop {
    Lifetime lifetime;
    std::uint64_t epoch { 0 };
    std::string task;
    std::uint64_t run { 0 };
};

/*! @brief Extends the executor's lease and asks for its lists. */
struct HoldRequest {
    Lifetime lifetime;
    std::uint64_t epoch { 0 };
    /*! @brief Ends up to this number are forgotten by the executor. */
    std::uint64_t endsSeen { 0 };
    /*! @brief End of the lease on the executor's clock, ms; nothing leaves it as it is. */
    std::optional<std::int64_t> leaseEndMs;
    /*! @brief Longest time to wait for an end, ms. */
    std::int64_t waitMs { 0 };
};

/*! @brief Answer to HoldRequest. */
struct HoldAnswer {
    ExecutorAnswer answer;
    std::vector<RunningTask> running;
    std::vector<RunEnd> ended;
};

/**
 * @brief Calls to the executor on the same VM; none throws.
 *
 * - `start(RunStart, timeout)` and `stop(RunStop, timeout)` give an ExecutorAnswer.
 * - `hold(HoldRequest, timeout)` gives a HoldAnswer.
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

}
