#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/wire/adaptors.h"
#include "lycheespool/wire/frame.h"
#include "lycheespool/wire/message_type.h"
#include "lycheespool/workload/lifetime.h"
#include "lycheespool/workload/resource_vector.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace lycheespool {

/*! @brief Whether an executor takes new tasks. */
enum class ExecutorState : std::uint8_t {
    /*! @brief No executor has announced itself to the agent. */
    absent,
    ready,
    /*! @brief The executor leaves; what runs on it ends with it. */
    draining,
    /*! @brief The executor has deregistered. */
    departed,
};

/*! @brief One task that an executor runs. */
struct RunningTask {
    std::string task;
    std::uint64_t run { 0 };
    std::string checkpoint;
    /*! @brief Share of the work that is done, 0 to 100. */
    std::uint32_t percent { 0 };
    MSGPACK_DEFINE(task, run, checkpoint, percent)
};

/*! @brief How a run of a task ended. */
enum class RunEndKind : std::uint8_t {
    done,
    failed,
    stopped,
    /*! @brief The executor's lease ran out. */
    lapsed,
    /*! @brief Another member of the gang ended. */
    broken,
    /*! @brief The other members of the gang did not start in time. */
    alone,
};

/*! @brief The end of a run, as the executor lists it until it is acknowledged. */
struct RunEnd {
    /*! @brief Position in the executor's list; starts at 1 in each lifetime. */
    std::uint64_t number { 0 };
    std::string task;
    std::uint64_t run { 0 };
    RunEndKind kind { RunEndKind::failed };
    std::string checkpoint;
    MSGPACK_DEFINE(number, task, run, kind, checkpoint)
};

/*! @brief Whether lists contain every run of the executor that is running or whose end is not acknowledged. */
enum class ListExtent : std::uint8_t {
    /*! @brief The sender does not say; agents before this field. */
    unstated,
    complete,
    /*! @brief Further ends or runs may exist. */
    partial,
};

/*! @brief Report of a node's agent to the leader. */
struct NodeReport {
    static constexpr auto type = MessageType::nodeReport;

    std::string node;
    std::string zone;
    ExecutorState state { ExecutorState::absent };
    Lifetime lifetime;
    std::string service;
    std::vector<std::string> labels;
    ResourceVector capacity;
    /*! @brief While draining: least time that the executor stays, ms. */
    std::uint64_t remainingMs { 0 };
    /*! @brief Agent's clock when the report was sent, ms. */
    std::uint64_t sentAtMs { 0 };
    /*! @brief Agent's clock when it asked the executor for the lists below, ms; 0 when there are none. */
    std::uint64_t listedAtMs { 0 };
    std::vector<RunningTask> running;
    std::vector<RunEnd> ended;
    /*! @brief False until the executor has answered the agent, and while it does not; no lease is extended then. */
    bool extendsLease { true };
    /*! @brief Lifetime that answered this agent process before the present one and that ended without a departure. */
    Lifetime previousLifetime;
    /*! @brief Agent's clock when that lifetime stopped answering, ms. */
    std::uint64_t previousLostAtMs { 0 };
    /*! @brief Extent of the executor's lists, which the agent's removal of stored ends does not change. */
    ListExtent listExtent { ListExtent::unstated };
    MSGPACK_DEFINE(node, zone, state, lifetime, service, labels, capacity, remainingMs, sentAtMs, listedAtMs, running,
        ended, extendsLease, previousLifetime, previousLostAtMs, listExtent)

    /**
     * @brief Checks if the executor of the named lifetime has answered the agent.
     * @return False if only an announcement has named the lifetime; another sender or a former lifetime may have sent
     * it.
     */
    [[nodiscard]] bool hasExecutorAnswer() const { return lifetime.isKnown() && listedAtMs > 0; }

    /**
     * @brief Checks if the report is evidence of the executor that it names, and not only of the agent.
     * @return True if this executor has answered the agent and its lease is to be extended.
     */
    [[nodiscard]] bool provesExecutor() const
    {
        // Earlier versions of the agent set extendsLease also before the first answer, while there are no lists.
        const bool isPresent = state == ExecutorState::ready || state == ExecutorState::draining;
        return extendsLease && isPresent && hasExecutorAnswer();
    }
};

/*! @brief Maximum number of runs on one executor, so that its report fits into a frame. */
inline constexpr std::size_t maxRunsPerReport = 4096;
/*! @brief Maximum encoded size of a run in a report with maxRunsPerReport runs, bytes: half of a frame by all runs. */
inline constexpr std::size_t maxReportedRunBytes = maxFrameBytes / 2 / maxRunsPerReport;

/*! @brief Answer to NodeReport. */
struct NodeReportReply {
    static constexpr auto type = MessageType::nodeReportReply;

    /*! @brief False when the receiver does not lead; the agent looks for the leader. */
    bool leads { false };
    /*! @brief False while the leader cannot reach the store; another entry may lead by now. */
    bool active { false };
    Epoch epoch;
    /*! @brief The agent may extend the executor's lease until this long after it sent the report, ms; 0 for no permit.
     */
    std::uint64_t permitMs { 0 };
    /*! @brief Ends up to this number are stored and may be acknowledged to the executor. */
    std::uint64_t endsStored { 0 };
    MSGPACK_DEFINE(leads, active, epoch, permitMs, endsStored)
};

/*! @brief Starts or stops one run. */
struct RunOrder {
    bool isStart { true };
    std::string task;
    std::uint64_t run { 0 };
    std::string payload;
    std::string checkpoint;
    MSGPACK_DEFINE(isStart, task, run, payload, checkpoint)
};

/*! @brief Orders of the leader to one agent. */
struct NodeOrders {
    static constexpr auto type = MessageType::nodeOrders;

    Epoch epoch;
    Lifetime lifetime;
    /*! @brief `sentAtMs` of the newest report that the leader knew; bounds the age of the decision. */
    std::uint64_t basedOnMs { 0 };
    std::uint64_t endsStored { 0 };
    std::vector<RunOrder> orders;
    MSGPACK_DEFINE(epoch, lifetime, basedOnMs, endsStored, orders)
};

/*! @brief Maximum encoded size of the orders in one message, bytes; an agent copies the message for each order. */
inline constexpr std::size_t maxOrdersBytes = std::size_t { 64 } << 10U;
/*! @brief Maximum number of orders in one message, for the same reason. */
inline constexpr std::size_t maxOrdersPerMessage = 64;
/*! @brief Maximum encoded size of one order; an order above maxOrdersBytes has a message of its own, and 1 KiB is left
 * for the rest of the frame. */
inline constexpr std::size_t maxOrderBytes = maxFrameBytes - 1024;

/**
 * @brief Returns the size of an order in a message.
 * @param order The order.
 * @return Upper bound of the size, bytes.
 */
[[nodiscard]] std::size_t encodedBytes(const RunOrder& order);

/**
 * @brief Splits orders into messages that each fit into a frame.
 * @param orders Orders of any number, each of at most maxOrderBytes.
 * @return Messages with the orders in their order.
 */
[[nodiscard]] std::vector<NodeOrders> splitOrders(NodeOrders orders);

/*! @brief Outcome of an order. */
enum class RunOrderResult : std::uint8_t {
    started,
    /*! @brief The run was stopped, or can never start any more. */
    stopped,
    /*! @brief The executor did not answer; the order may still be carried out. */
    unresolved,
    /*! @brief The order names another lifetime than the present one. */
    wrongLifetime,
};

/*! @brief Outcome of one order. */
struct RunOrderOutcome {
    std::string task;
    std::uint64_t run { 0 };
    RunOrderResult result { RunOrderResult::unresolved };
    std::string reason;
    /*! @brief Agent's clock after the executor's answer, ms. */
    std::uint64_t answeredAtMs { 0 };
    /*! @brief False if the order is a start and the executor has certainly not begun the run because of it. */
    bool mayHaveBegun { true };
    MSGPACK_DEFINE(task, run, result, reason, answeredAtMs, mayHaveBegun)
};

/*! @brief Answer to NodeOrders. */
struct NodeOrdersReply {
    static constexpr auto type = MessageType::nodeOrdersReply;

    std::vector<RunOrderOutcome> outcomes;
    MSGPACK_DEFINE(outcomes)
};

/*! @brief A client's call that another entry answers, because the store does not serve the one it arrived at. */
struct ClientCall {
    static constexpr auto type = MessageType::clientCall;

    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    /*! @brief Newest config version that the sender knows of; an older one must not decide about the call. */
    std::uint64_t minConfigVersion { 0 };
    MSGPACK_DEFINE(method, path, fields, body, minConfigVersion)
};

/*! @brief Answer to ClientCall. */
struct ClientCallReply {
    static constexpr auto type = MessageType::clientCallReply;

    unsigned status { 503 };
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    /*! @brief Version of the config that decided about the call, or the newest known one if none decided; 0 from a
     * sender without this field. */
    std::uint64_t configVersion { 0 };
    MSGPACK_DEFINE(status, fields, body, configVersion)
};

}

MSGPACK_ADD_ENUM(lycheespool::ExecutorState);
MSGPACK_ADD_ENUM(lycheespool::RunEndKind);
MSGPACK_ADD_ENUM(lycheespool::RunOrderResult);
MSGPACK_ADD_ENUM(lycheespool::ListExtent);
