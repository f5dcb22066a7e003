#pragma once

#include "lycheespool/cluster/operator_config.h"

#include <cstdint>
#include <string_view>

namespace lycheespool {

/*! @brief Decision whether a call may use a queue. */
enum class AccessDecision : std::uint8_t {
    allowed,
    noQueue,
    unknownKey,
    /*! @brief The config that is in force is not known. */
    undecided,
};

/*! @brief Queue and workspace of a call; the pointers are valid as long as the config. */
struct Access {
    AccessDecision decision { AccessDecision::noQueue };
    const QueueConfig* queue { nullptr };
    /*! @brief Null for an anonymous call. */
    const WorkspaceConfig* workspace { nullptr };
};

/**
 * @brief Finds the queue of a call and checks its key.
 * @param config The config.
 * @param host Host name without a port.
 * @param path Path of the call.
 * @param key API key of the caller, empty for none.
 * @return The decision.
 */
[[nodiscard]] inline Access checkAccess(
    const OperatorConfig& config, std::string_view host, std::string_view path, std::string_view key)
{
    Access access;
    access.queue = config.route(host, path);
    if (!access.queue)
        return access;
    access.workspace = key.empty() ? nullptr : config.workspaceOfKey(key);
    const bool isAllowed = access.workspace || access.queue->allowsAnonymous;
    access.decision = isAllowed ? AccessDecision::allowed : AccessDecision::unknownKey;
    return access;
}

}
