#include "lycheespool/wire/node_messages.h"

namespace lycheespool {

std::size_t encodedBytes(const RunOrder& order)
{
    // The array takes 1 byte, the flag 1, the number up to 9, and the headers of the three texts up to 5 each.
    constexpr std::size_t fixedBytes = 1 + 1 + 9 + 3 * 5;
    return fixedBytes + order.task.size() + order.payload.size() + order.checkpoint.size();
}

std::vector<NodeOrders> splitOrders(NodeOrders orders)
{
    std::vector<NodeOrders> messages;
    std::size_t bytes = 0;
    for (auto& it : orders.orders) {
        const auto size = encodedBytes(it);
        if (messages.empty() || bytes + size > maxOrdersBytes || messages.back().orders.size() == maxOrdersPerMessage) {
            messages.push_back({ orders.epoch, orders.lifetime, orders.basedOnMs, orders.endsStored, {} });
            bytes = 0;
        }
        bytes += size;
        messages.back().orders.push_back(std::move(it));
    }
    return messages;
}

}
