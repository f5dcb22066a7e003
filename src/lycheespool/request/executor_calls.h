#pragma once

#include "lycheespool/core/error.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/request/client_request.h"
#include "lycheespool/request/dispatcher.h"
#include "lycheespool/request/node_lease.h"
#include "lycheespool/request/routing.h"
#include "lycheespool/request/thread_readers.h"
#include "lycheespool/request/timing.h"

#include <algorithm>
#include <atomic>
#include <utility>

namespace lycheespool {

/**
 * @brief Chooses executors and calls their agents; thread-safe.
 * @tparam DispatcherType Model of Dispatcher.
 * @tparam Policy Model of RoutingPolicy.
 * @tparam TimingType Model of Timing.
 */
template <Dispatcher DispatcherType, RoutingPolicy Policy, Timing TimingType>
class ExecutorCalls {
public:
    /*! @brief True if requests are sent to another executor after a failure. */
    static constexpr bool retries = Policy::retries;

    /**
     * @brief Constructs the client of one entry.
     * @param zone Zone of the entry.
     * @param membership Known executors; must outlive this.
     * @param metrics Registry for counters.
     * @param dispatcher Sends the messages.
     * @param timing Clock.
     */
    ExecutorCalls(
        ZoneId zone, const Membership& membership, Metrics& metrics, DispatcherType dispatcher, TimingType timing)
        : m_zone { std::move(zone) }
        , m_nodes { membership.nodes() }
        , m_zonesOut { m_publishedZones }
        , m_dispatcher { std::move(dispatcher) }
        , m_timing { std::move(timing) }
        , m_dispatched { metrics.counter("requests_dispatched_total") }
        , m_mismatched { metrics.counter("replies_mismatched_total") }
    {
    }

    /**
     * @brief Replaces the set of zones that receive no new work.
     * @param zones Zones out of service.
     */
    void setZonesOut(ZoneSet zones) { m_publishedZones.store(std::move(zones)); }

    /**
     * @brief Chooses an executor and leases one of its slots.
     * @param excluded Incarnations that must not be chosen.
     * @return A lease without a node if none is eligible.
     */
    [[nodiscard]] NodeLease choose(const ExcludedNodes& excluded)
    {
        return m_zonesOut.read([&](const ZoneSet& zonesOut) {
            const RoutingContext context { m_zone, zonesOut, excluded, m_timing.now() };
            return m_nodes.read([&](const auto& nodes) { return NodeLease { m_policy.choose(nodes, context) }; });
        });
    }

    /**
     * @brief Finds an incarnation of an agent that is connected to this entry.
     * @param agent The agent.
     * @param incarnation The incarnation.
     * @return Null if it is not connected.
     */
    [[nodiscard]] ExecutorNodePtr find(const AgentId& agent, Incarnation incarnation)
    {
        return m_nodes.read([&](const Membership::Nodes& nodes) -> ExecutorNodePtr {
            const auto it = std::ranges::find_if(
                nodes, [&](const auto& node) { return node->agent == agent && node->incarnation == incarnation; });
            return it == nodes.end() ? nullptr : *it;
        });
    }

    /**
     * @brief Counts the slots that this entry may use.
     * @return Usable slots of all nodes in service according to the policy, minus those that other entries use.
     */
    [[nodiscard]] std::uint32_t capacity()
    {
        const auto now = m_timing.now();
        return m_zonesOut.read([&](const ZoneSet& zonesOut) {
            return m_nodes.read([&](const Membership::Nodes& nodes) {
                std::uint32_t sum = 0;
                for (const auto& it : nodes) {
                    const auto slots = isInService(*it, zonesOut, now) ? m_policy.usableSlots(*it, now) : 0;
                    sum += slots - std::min(slots, it->usedByOthers.load(std::memory_order_relaxed));
                }
                return sum;
            });
        });
    }

    /**
     * @brief Sends a request to an executor.
     * @param node The executor's node; the caller holds a lease.
     * @param request The request.
     * @param left Time until its deadline.
     * @return Result of the call; failures of the agent or the connection are returned, not thrown.
     */
    [[nodiscard]] Awaitable<CallResult> call(ExecutorNodePtr node, const ClientRequest& request, Duration left)
    {
        auto message = makeMessage(*node, request, left);
        const auto id = message.request;
        const auto start = m_timing.now();
        m_dispatched.add();
        CallResult result;
        try {
            auto reply = co_await m_dispatcher.execute(node, std::move(message), left);
            result = toResult(*node, id, std::move(reply));
        } catch (const Error& error) {
            result.outcome = error.kind() == ErrorKind::unavailable ? Outcome::notRun : Outcome::unknown;
            result.reason = error.what();
        }
        const auto end = m_timing.now();
        m_nodes.read([&](const auto& nodes) { m_policy.recordResult(nodes, *node, result, end - start, end); });
        co_return result;
    }

    /**
     * @brief Asks an agent for the outcome of a request.
     * @param node The agent's node.
     * @param key The request's key as it was sent.
     * @param timeout Longest time to wait.
     * @return The agent's reply; notSeen if it did not reply.
     */
    [[nodiscard]] Awaitable<InquireReply> inquire(ExecutorNodePtr node, std::string key, Duration timeout)
    {
        Inquire message;
        message.key = std::move(key);
        message.incarnation = node->incarnation;
        InquireReply reply;
        try {
            reply = co_await m_dispatcher.inquire(node, std::move(message), timeout);
        } catch (const Error&) {
            reply.incarnation = node->incarnation;
        }
        // A reply of another incarnation says nothing about the request.
        if (reply.incarnation != node->incarnation)
            reply.state = ExecutionState::notSeen;
        co_return reply;
    }

    /**
     * @brief Returns the key of a request in messages to agents, which serve all workspaces.
     * @param request The request.
     * @return Key that is unique among all workspaces.
     */
    [[nodiscard]] static std::string wireKey(const ClientRequest& request)
    {
        return claimRowKey(request.workspace, request.key);
    }

private:
    [[nodiscard]] Execute makeMessage(const ExecutorNode& node, const ClientRequest& request, Duration left)
    {
        Execute message;
        message.request = m_nextRequest.fetch_add(1, std::memory_order_relaxed);
        message.incarnation = node.incarnation;
        message.idempotent = request.idempotent;
        message.deadlineMs = static_cast<std::uint64_t>(
            std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(left).count()));
        if (!request.key.value().empty())
            message.key = wireKey(request);
        message.body = request.body;
        return message;
    }

    [[nodiscard]] CallResult toResult(ExecutorNode& node, std::uint64_t id, ExecuteReply reply)
    {
        CallResult result;
        if (reply.request != id || reply.incarnation != node.incarnation) {
            m_mismatched.add();
            result.reason = "the agent's reply belongs to another request or incarnation";
            return result;
        }
        node.recordFreeSlots(reply.slotsFree);
        result.outcome = reply.outcome;
        result.status = reply.status;
        result.body = std::move(reply.body);
        result.noFreeSlot = reply.outcome == Outcome::notRun && reply.slotsFree == 0;
        if (reply.outcome != Outcome::done)
            result.reason = fmt::format("agent {}: {}", node.agent.value(), result.body);
        return result;
    }

    ZoneId m_zone;
    Published<ZoneSet> m_publishedZones;
    ThreadReaders<Membership::Nodes> m_nodes;
    ThreadReaders<ZoneSet> m_zonesOut;
    DispatcherType m_dispatcher;
    TimingType m_timing;
    Policy m_policy;
    std::atomic<std::uint64_t> m_nextRequest { 1 };
    Counter& m_dispatched;
    Counter& m_mismatched;
};

}
