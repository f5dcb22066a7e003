#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/wire/messages.h"

#include <concepts>

namespace lycheespool {

/**
 * @brief Transport of the leader's orders to agents.
 *
 * `send(agent, order, timeout)` returns the agent's reply. It throws Error of kind unavailable if the order was
 * certainly not received, and deadlineExceeded or outcomeUnknown if it may have been received. The channel fills in
 * the agent's incarnation only if the order carries none.
 */
template <typename Type>
concept OrderChannel = requires(Type& channel, const AgentId& agent, Order order, Duration timeout)
{
    {
        channel.send(agent, order, timeout)
        } -> std::same_as<Awaitable<OrderReply>>;
};

}
