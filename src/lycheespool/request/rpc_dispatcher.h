#pragma once

#include "lycheespool/core/error.h"
#include "lycheespool/request/dispatcher.h"

#include <utility>

namespace lycheespool {

/*! @brief Sends requests over the RPC connection of the node; the production model of Dispatcher. */
class RpcDispatcher {
public:
    /**
     * @brief Sends a request to an agent.
     * @param node The agent's node.
     * @param message The request.
     * @param timeout Longest time to wait for the reply.
     * @return The reply.
     * @throws Error of kind unavailable when nothing was sent, outcomeUnknown otherwise.
     */
    [[nodiscard]] Awaitable<ExecuteReply> execute(ExecutorNodePtr node, Execute message, Duration timeout)
    {
        return call<ExecuteReply>(std::move(node), std::move(message), timeout);
    }

    /**
     * @brief Asks an agent for the outcome of a request.
     * @param node The agent's node.
     * @param message The inquiry.
     * @param timeout Longest time to wait for the reply.
     * @return The reply.
     * @throws Error of kind unavailable when nothing was sent, outcomeUnknown otherwise.
     */
    [[nodiscard]] Awaitable<InquireReply> inquire(ExecutorNodePtr node, Inquire message, Duration timeout)
    {
        return call<InquireReply>(std::move(node), std::move(message), timeout);
    }

private:
    template <typename Reply, typename Request>
    [[nodiscard]] static Awaitable<Reply> call(ExecutorNodePtr node, Request message, Duration timeout)
    {
        if (!node->connection || !node->connection->isOpen())
            throw Error { ErrorKind::unavailable, "the connection to the agent is closed", "choose another executor" };
        try {
            co_return co_await node->connection->template call<Reply>(std::move(message), timeout);
        } catch (const Error& error) {
            throw Error { ErrorKind::outcomeUnknown, error.what(), "ask the agent with the request's key" };
        }
    }
};

}
