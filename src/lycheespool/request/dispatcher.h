#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/request/executor_node.h"
#include "lycheespool/wire/messages.h"

#include <concepts>

namespace lycheespool {

/**
 * @brief Sends requests to agents. Copies share their state.
 *
 * `execute(node, message, timeout)` and `inquire(node, message, timeout)` return the agent's reply. They throw Error:
 * unavailable if the agent certainly did not receive the message, any other kind if it may have received it.
 */
template <typename Type>
concept Dispatcher
    = requires(Type& dispatcher, const ExecutorNodePtr& node, Execute execute, Inquire inquire, Duration timeout)
{
    {
        dispatcher.execute(node, execute, timeout)
        } -> std::same_as<Awaitable<ExecuteReply>>;
    {
        dispatcher.inquire(node, inquire, timeout)
        } -> std::same_as<Awaitable<InquireReply>>;
};

}
