#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/request/client_request.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>

namespace lycheespool {

/**
 * @brief Round-robin queue over workspaces; within a workspace, higher priorities come first.
 *
 * Every item costs one slot, so taking one item per workspace and round equals deficit round robin with equal quanta.
 *
 * @tparam Item Type of the items.
 */
template <typename Item>
class FairQueue {
public:
    /**
     * @brief Adds an item.
     * @param workspace Its workspace.
     * @param priority Its priority.
     * @param item The item.
     */
    void push(const WorkspaceId& workspace, RequestPriority priority, Item item)
    {
        const auto [it, isNew] = m_classes.try_emplace(workspace);
        if (isNew)
            m_turns.push_back(workspace);
        it->second[indexOf(priority)].push_back(std::move(item));
        ++m_size;
    }

    /**
     * @brief Removes the next item.
     * @return The item, or nothing if the queue is empty.
     */
    [[nodiscard]] std::optional<Item> pop()
    {
        if (m_turns.empty())
            return std::nullopt;
        const auto it = m_classes.find(m_turns.front());
        auto& queue = *std::find_if(it->second.rbegin(), it->second.rend(), [](const auto& q) { return !q.empty(); });
        std::optional<Item> item { std::move(queue.front()) };
        queue.pop_front();
        --m_size;
        endTurn(it);
        return item;
    }

    /**
     * @brief Removes the items that match a predicate.
     * @tparam Predicate Callable as `bool(const Item&)`.
     * @param predicate Selects the items to remove.
     */
    template <typename Predicate>
    void removeIf(Predicate predicate)
    {
        for (auto it = m_turns.begin(); it != m_turns.end();) {
            auto& queues = m_classes.at(*it);
            for (auto& queue : queues)
                m_size -= std::erase_if(queue, predicate);
            if (isEmpty(queues)) {
                m_classes.erase(*it);
                it = m_turns.erase(it);
            } else {
                ++it;
            }
        }
    }

    /**
     * @brief Counts the items.
     * @return Number of items.
     */
    [[nodiscard]] std::size_t size() const { return m_size; }

    /**
     * @brief Counts the items of one workspace and priority.
     * @param workspace The workspace.
     * @param priority The priority.
     * @return Number of items.
     */
    [[nodiscard]] std::size_t sizeOf(const WorkspaceId& workspace, RequestPriority priority) const
    {
        const auto it = m_classes.find(workspace);
        return it == m_classes.end() ? 0 : it->second[indexOf(priority)].size();
    }

    /**
     * @brief Counts the items that would be served before a new one if no others arrived.
     * @param workspace Workspace of the new item.
     * @param priority Priority of the new item.
     * @return Number of items.
     */
    [[nodiscard]] std::size_t countAhead(const WorkspaceId& workspace, RequestPriority priority) const
    {
        std::size_t own = 0;
        if (const auto it = m_classes.find(workspace); it != m_classes.end()) {
            for (auto i = indexOf(priority); i < it->second.size(); ++i)
                own += it->second[i].size();
        }
        std::size_t others = 0;
        for (const auto& [name, queues] : m_classes) {
            if (name != workspace)
                others += std::min(own + 1, sizeOf(queues));
        }
        return own + others;
    }

private:
    using Queues = std::array<std::deque<Item>, 3>;
    using Classes = std::unordered_map<WorkspaceId, Queues>;

    [[nodiscard]] static std::size_t indexOf(RequestPriority priority) { return static_cast<std::size_t>(priority); }

    [[nodiscard]] static bool isEmpty(const Queues& queues) { return sizeOf(queues) == 0; }

    [[nodiscard]] static std::size_t sizeOf(const Queues& queues)
    {
        return queues[0].size() + queues[1].size() + queues[2].size();
    }

    void endTurn(typename Classes::iterator it)
    {
        if (isEmpty(it->second)) {
            m_classes.erase(it);
            m_turns.pop_front();
        } else {
            m_turns.splice(m_turns.end(), m_turns, m_turns.begin());
        }
    }

    Classes m_classes;
    /*! @brief Workspaces with items in round-robin order, the next one first. */
    std::list<WorkspaceId> m_turns;
    std::size_t m_size { 0 };
};

}
