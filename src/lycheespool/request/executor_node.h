#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/net/rpc_connection.h"

#include <atomic>
#include <cstdint>
#include <memory>

namespace lycheespool {

/*! @brief One executor as an entry sees it; the atomics are shared by all threads of the request path. */
struct ExecutorNode {
    AgentId agent;
    Incarnation incarnation;
    ZoneId zone;
    std::uint32_t slots { 0 };
    std::shared_ptr<RpcConnection> connection;
    /*! @brief Requests of this entry that wait for this executor. */
    std::atomic<std::uint32_t> inFlight { 0 };
    /*! @brief Free slots in the last report of the agent. */
    std::atomic<std::uint32_t> slotsFree { 0 };
    /*! @brief Set when the endpoint leaves; it gets no new work. */
    std::atomic<bool> draining { false };
    /*! @brief Time of the last message, as ticks of the monotonic clock. */
    std::atomic<TimePoint::rep> lastHeard { 0 };
};

/*! @brief Shared ownership of a node by the snapshots that contain it. */
using ExecutorNodePtr = std::shared_ptr<ExecutorNode>;

}
