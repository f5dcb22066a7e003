#pragma once

#include <algorithm>
#include <atomic>
#include <iterator>
#include <utility>
#include <vector>

namespace lycheespool {

/**
 * @brief Lock-free queue with many producers and one consumer that takes everything at once.
 * @tparam Item Type of the items.
 */
template <typename Item>
class Outbox {
public:
    Outbox() = default;
    Outbox(const Outbox&) = delete;
    Outbox& operator=(const Outbox&) = delete;

    ~Outbox()
    {
        std::vector<Item> rest;
        drain(rest);
    }

    /**
     * @brief Adds an item.
     * @param item The item.
     * @return True when the queue was empty, so that the producer has to wake the consumer.
     */
    [[nodiscard]] bool push(Item item)
    {
        auto* node = new Node { std::move(item), m_head.load(std::memory_order_relaxed) };
        while (!m_head.compare_exchange_weak(node->next, node, std::memory_order_release, std::memory_order_relaxed)) {
        }
        return node->next == nullptr;
    }

    /**
     * @brief Takes all items in the order of their arrival.
     * @param items Receives the items at its end.
     */
    void drain(std::vector<Item>& items)
    {
        auto* node = m_head.exchange(nullptr, std::memory_order_acquire);
        const auto first = static_cast<std::ptrdiff_t>(items.size());
        while (node) {
            items.push_back(std::move(node->item));
            delete std::exchange(node, node->next);
        }
        std::reverse(std::next(items.begin(), first), items.end());
    }

private:
    struct Node {
        Item item;
        Node* next;
    };

    std::atomic<Node*> m_head { nullptr };
};

}
