#pragma once

#include "lycheespool/core/error.h"
#include "lycheespool/emulator/direct_worker.h"
#include "lycheespool/net/signal.h"
#include "lycheespool/scheduler/order_channel.h"
#include "sim_agent.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lycheespool {

/*! @brief Fault injected into orders to one agent. */
enum class OrderFault { none, refuse, loseOrder, loseReply, duplicate, hold };

/*! @brief Delivers orders to simulated agents and injects faults per agent; a model of OrderChannel. */
class FakeOrders {
public:
    FakeOrders(asio::io_context& context, std::map<AgentId, SimAgent>& agents, SharedClock clock)
        : m_context { context }
        , m_agents { agents }
        , m_clock { clock }
        , m_changed { context.get_executor() }
    {
    }

    [[nodiscard]] Awaitable<OrderReply> send(AgentId agent, Order order, Duration timeout)
    {
        const auto deadline = timeouts ? m_clock.now() + timeout : TimePoint::max();
        sent.emplace_back(agent, order);
        const auto chosen = faults.find(agent);
        const bool applies = chosen != faults.end() && (!onlyKind || *onlyKind == order.kind);
        const auto fault = applies ? chosen->second : OrderFault::none;
        if (fault == OrderFault::refuse)
            co_return OrderReply { false, "refused by the test", 0 };
        if (fault == OrderFault::loseOrder || !m_agents.at(agent).isReachable())
            throw Error { ErrorKind::unavailable, "the order was lost", "retry" };
        while (fault == OrderFault::hold && faults.contains(agent) && m_clock.now() < deadline)
            co_await m_changed.wait();
        if (fault == OrderFault::hold && faults.contains(agent)) {
            m_timedOut.emplace_back(agent, order);
            throw Error { ErrorKind::deadlineExceeded, "no reply within the timeout", "retry" };
        }
        auto reply = co_await m_agents.at(agent).tasks->execute(order);
        if (fault == OrderFault::duplicate)
            reply = co_await m_agents.at(agent).tasks->execute(order);
        if (fault == OrderFault::loseReply)
            throw Error { ErrorKind::deadlineExceeded, "the reply was lost", "retry" };
        co_return reply;
    }

    /*! @brief Ends all faults and delivers the held orders, including those whose sender has timed out. */
    void endFaults()
    {
        faults.clear();
        m_changed.notifyAll();
        for (const auto& [agent, order] : std::exchange(m_timedOut, {})) {
            if (m_agents.at(agent).isReachable())
                asio::co_spawn(m_context, m_agents.at(agent).tasks->execute(order), asio::detached);
        }
    }

    /*! @brief Makes held orders check their deadline; called after the clock was advanced. */
    void notifyTimeAdvanced() { m_changed.notifyAll(); }

    [[nodiscard]] std::size_t count(OrderKind kind) const
    {
        return static_cast<std::size_t>(std::ranges::count(sent, kind, [](const auto& it) { return it.second.kind; }));
    }

    std::map<AgentId, OrderFault> faults;
    std::optional<OrderKind> onlyKind;
    /*! @brief Whether the sender of a held order fails at its timeout. */
    bool timeouts { true };
    std::vector<std::pair<AgentId, Order>> sent;

private:
    asio::io_context& m_context;
    std::map<AgentId, SimAgent>& m_agents;
    SharedClock m_clock;
    Signal m_changed;
    std::vector<std::pair<AgentId, Order>> m_timedOut;
};

}
