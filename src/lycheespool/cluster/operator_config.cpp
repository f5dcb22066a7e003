#include "lycheespool/cluster/operator_config.h"

#include <algorithm>

namespace lycheespool {

namespace {

template <typename Items>
const typename Items::value_type* findNamed(const Items& items, std::string_view name)
{
    const auto it = std::ranges::find_if(items, [&](const auto& item) { return item.name == name; });
    return it == items.end() ? nullptr : &*it;
}

}

const QueueConfig* OperatorConfig::route(std::string_view host, std::string_view path) const
{
    const QueueConfig* best = nullptr;
    for (const auto& it : queues) {
        if (it.host == host && path.starts_with(it.pathPrefix)
            && (!best || it.pathPrefix.size() > best->pathPrefix.size()))
            best = &it;
    }
    return best;
}

const QueueConfig* OperatorConfig::queue(std::string_view name) const { return findNamed(queues, name); }

const WorkspaceConfig* OperatorConfig::workspaceOfKey(std::string_view key) const
{
    const auto it = std::ranges::find_if(
        workspaces, [&](const auto& item) { return std::ranges::find(item.keys, key) != item.keys.end(); });
    return it == workspaces.end() ? nullptr : &*it;
}

const WorkspaceConfig* OperatorConfig::workspace(std::string_view name) const { return findNamed(workspaces, name); }

}
