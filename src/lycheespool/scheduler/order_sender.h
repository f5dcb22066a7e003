#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/net/when_all.h"
#include "lycheespool/scheduler/order_channel.h"
#include "lycheespool/scheduler/order_outcome.h"

#include <chrono>
#include <exception>
#include <utility>
#include <vector>

namespace lycheespool {

/**
 * @brief Sends orders to several workers concurrently and awaits all replies.
 * @tparam Orders Model of OrderChannel.
 */
template <typename Orders>
class OrderSender {
public:
    static_assert(OrderChannel<Orders>);

    /*! @brief Timeout of a reservation, a release, a checkpoint or a stop. */
    static constexpr Duration timeout = std::chrono::seconds { 2 };
    /*! @brief Timeout of a start, which may need an agent heartbeat round trip and a worker call of up to 1 s. */
    static constexpr Duration startTimeout = std::chrono::seconds { 3 };

    /**
     * @brief Creates a sender.
     * @param channel Transport of the orders; must outlive this object.
     */
    explicit OrderSender(Orders& channel)
        : m_channel { channel }
    {
    }

    /**
     * @brief Sends the orders.
     * @param orders Workers and their orders.
     * @return Outcomes in the sequence of @p orders.
     */
    [[nodiscard]] Awaitable<OrderOutcomes> send(std::vector<std::pair<WorkerId, Order>> orders)
    {
        std::vector<Awaitable<OrderOutcome>> operations;
        operations.reserve(orders.size());
        for (const auto& [worker, order] : orders)
            operations.push_back(sendOne(worker, order));
        auto settled = co_await whenAll(std::move(operations));
        OrderOutcomes outcomes;
        for (auto& it : settled)
            outcomes.push_back(std::move(it.value));
        co_return outcomes;
    }

private:
    [[nodiscard]] Awaitable<OrderOutcome> sendOne(WorkerId worker, Order order)
    {
        OrderOutcome outcome;
        outcome.worker = worker;
        const AgentId agent { worker.value() };
        const auto limit = order.kind == OrderKind::start ? startTimeout : timeout;
        try {
            const auto reply = co_await m_channel.send(agent, order, limit);
            outcome.accepted = reply.accepted;
            outcome.reason = reply.reason;
            outcome.progressMs = reply.progressMs;
        } catch (const Error& error) {
            outcome.reason = error.what();
        }
        co_return outcome;
    }

    Orders& m_channel;
};

}
