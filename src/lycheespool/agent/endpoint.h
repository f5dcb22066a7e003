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
 * @brief The service that an agent represents: an executor or a worker. All functions are called on the agent's only
 * thread.
 *
 * - `hello()` describes the endpoint.
 * - `heartbeat()` reports its current state, with sequence and incarnation.
 * - `handle(connection, envelope)` handles a message of an entry that is not a reply; answers on `connection`.
 * - `received(reply, sent)` processes the reply to a heartbeat; `sent` is the time at which that heartbeat was sent.
 * - `drain(timeout)` refuses new work and waits for the work in progress; true if all of it finished.
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
