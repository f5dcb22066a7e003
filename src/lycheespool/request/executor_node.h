#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/net/rpc_connection.h"
#include "lycheespool/request/node_health.h"

#include <atomic>
#include <cstdint>
#include <memory>

namespace lycheespool {

/*! @brief State of one executor in an entry; the atomics are shared by all threads of the request path. */
struct ExecutorNode {
    AgentId agent;
    Incarnation incarnation;
    ZoneId zone;
    std::uint32_t slots { 0 };
    std::shared_ptr<RpcConnection> connection;
    /*! @brief Time of the announcement. */
    TimePoint joinedAt;
    /*! @brief Requests of this entry in flight to this executor. */
    std::atomic<std::uint32_t> inFlight { 0 };
    /*! @brief Free slots in the last report of the agent. */
    std::atomic<std::uint32_t> slotsFree { 0 };
    /*! @brief Set when the executor drains; it receives no new work. */
    std::atomic<bool> draining { false };
    /*! @brief Time of the announcement or the last heartbeat, in ticks of the monotonic clock. */
    std::atomic<TimePoint::rep> lastHeartbeatAt { 0 };
    /*! @brief Slots in use by other entries at the last report. */
    std::atomic<std::uint32_t> usedByOthers { 0 };
    /*! @brief Latency and failures as measured by this entry. */
    NodeHealth health;

    /**
     * @brief Records the free slots that the agent reported; other entries use those that this entry does not use.
     * @param free Free slots.
     */
    void recordFreeSlots(std::uint32_t free)
    {
        const auto known = free + inFlight.load(std::memory_order_relaxed);
        slotsFree.store(free, std::memory_order_relaxed);
        usedByOthers.store(known < slots ? slots - known : 0, std::memory_order_relaxed);
    }

    /**
     * @brief Estimates the number of free slots between two reports.
     * @return Number of slots.
     */
    [[nodiscard]] std::uint32_t freeSlots() const
    {
        const auto used = usedSlots();
        return used < slots ? slots - used : 0;
    }

    /**
     * @brief Estimates the number of slots in use by all entries.
     * @return Number of slots; exceeds the total when requests wait at the agent.
     */
    [[nodiscard]] std::uint32_t usedSlots() const
    {
        return inFlight.load(std::memory_order_relaxed) + usedByOthers.load(std::memory_order_relaxed);
    }
};

/*! @brief Shared ownership of a node by the snapshots that contain it. */
using ExecutorNodePtr = std::shared_ptr<ExecutorNode>;

}
