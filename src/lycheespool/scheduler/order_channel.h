#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/wire/messages.h"

#include <concepts>

namespace lycheespool {

/**
 * @brief Carries orders of the leader to agents.
 *
 * `send(agent, order, timeout)` gives the agent's reply. It throws Error: unavailable when the order was certainly not
 * received, deadlineExceeded or outcomeUnknown when it may have been. The channel fills in the agent's incarnation
 * only if the order carries none.
 */
template <typename Type>
concept OrderChannel = requires(Type& channel, const AgentId& agent, Order order, Duration timeout)
{
    {
        channel.send(agent, order, timeout)
        } -> std::same_as<Awaitable<OrderReply>>;
};

}
