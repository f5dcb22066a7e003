#pragma once

#include "lycheespool/request/executor_node.h"

#include <utility>

namespace lycheespool {

/*! @brief RAII lease of one slot of a node, held from the choice of the node until the answer. */
class NodeLease {
public:
    NodeLease() = default;

    /**
     * @brief Takes a slot.
     * @param node The node, or null for no lease.
     */
    explicit NodeLease(ExecutorNodePtr node)
        : m_node { std::move(node) }
    {
        if (m_node)
            m_node->inFlight.fetch_add(1, std::memory_order_relaxed);
    }

    NodeLease(NodeLease&& other) noexcept
        : m_node { std::move(other.m_node) }
    {
    }

    NodeLease& operator=(NodeLease&& other) noexcept
    {
        std::swap(m_node, other.m_node);
        return *this;
    }

    ~NodeLease()
    {
        if (m_node)
            m_node->inFlight.fetch_sub(1, std::memory_order_relaxed);
    }

    /**
     * @brief Returns the node.
     * @return Null if there is no lease.
     */
    [[nodiscard]] const ExecutorNodePtr& node() const { return m_node; }

private:
    ExecutorNodePtr m_node;
};

}
