#pragma once

#include "lycheespool/workload/job_request.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheespool {

/*! @brief A queue to which clients submit jobs, and its scheduling policy. */
struct QueueConfig {
    std::string name;
    std::string host;
    std::string pathPrefix;
    QueuePolicy policy;
    bool allowsAnonymous { false };
};

/*! @brief A pool of executors. */
struct ServiceConfig {
    std::string name;
    /*! @brief True if the executors refuse work that exceeds their capacity. */
    bool enforcesCapacity { false };
};

/*! @brief A workspace with its access keys and its guaranteed capacity. */
struct WorkspaceConfig {
    std::string name;
    std::vector<std::string> keys;
    /*! @brief Number of accelerators that its jobs of priority 0 can claim at any time. */
    std::int64_t guaranteedAccelerators { 0 };
};

/*! @brief The complete config that the operators maintain. */
struct OperatorConfig {
    std::uint64_t version { 0 };
    std::vector<QueueConfig> queues;
    std::vector<ServiceConfig> services;
    std::vector<WorkspaceConfig> workspaces;

    /**
     * @brief Finds the queue of a request by host and longest matching path prefix.
     * @param host Host name without the port.
     * @param path Path of the request.
     * @return The queue, or null.
     */
    [[nodiscard]] const QueueConfig* route(std::string_view host, std::string_view path) const;

    /**
     * @brief Finds a queue by its name.
     * @param name The name.
     * @return The queue, or null.
     */
    [[nodiscard]] const QueueConfig* queue(std::string_view name) const;

    /**
     * @brief Finds the workspace that holds a key.
     * @param key The key.
     * @return The workspace, or null.
     */
    [[nodiscard]] const WorkspaceConfig* workspaceOfKey(std::string_view key) const;

    /**
     * @brief Finds a workspace by its name.
     * @param name The name.
     * @return The workspace, or null.
     */
    [[nodiscard]] const WorkspaceConfig* workspace(std::string_view name) const;
};

}
