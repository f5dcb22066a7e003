#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/net/rpc_connection.h"
#include "lycheespool/wire/frame.h"
#include "lycheespool/wire/messages.h"

#include <concepts>
#include <memory>

namespace lycheespool {

/**
 * @brief What an agent stands beside: an executor or a worker. All functions are called on the agent's one thread.
 *
 * - `hello()` describes the endpoint.
 * - `heartbeat()` reports its present state; sequence and incarnation included.
 * - `handle(connection, envelope)` takes a message of an entry that is not a reply, and answers it over the connection.
 * - `received(reply, sent)` takes the answer to a heartbeat and the time at which that heartbeat was sent.
 * - `drain(timeout)` stops taking new work and waits for the work in flight; true when none was left.
 */
template <typename Type>
concept Endpoint = requires(Type& endpoint, const std::shared_ptr<RpcConnection>& connection, Envelope envelope,
    const HeartbeatReply& reply, TimePoint sent, Duration timeout)
{
    {
        endpoint.hello()
        } -> std::same_as<Hello>;
    {
        endpoint.heartbeat()
        } -> std::same_as<Heartbeat>;
    endpoint.handle(connection, std::move(envelope));
    endpoint.received(reply, sent);
    {
        endpoint.drain(timeout)
        } -> std::same_as<Awaitable<bool>>;
};

}
