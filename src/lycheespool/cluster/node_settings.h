#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/net/address.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Time bounds that the deployment promises or demands. */
struct ClusterBounds {
    /*! @brief Longest lease that an executor accepts. */
    Duration maxLease { std::chrono::seconds { 10 } };
    /*! @brief Longest time that an executor needs to stop a task. */
    Duration taskStop { std::chrono::milliseconds { 400 } };
    /*! @brief Members of a gang must all start within this time. */
    Duration gangAssembly { std::chrono::seconds { 3 } };
    /*! @brief Time after the restart of a task from a checkpoint until it makes progress. */
    Duration restore { std::chrono::milliseconds { 250 } };
    /*! @brief Work between two checkpoints of a task. */
    Duration checkpointInterval { std::chrono::seconds { 1 } };
    /*! @brief A config change must be in effect this long after its acknowledgement. */
    Duration configApply { std::chrono::seconds { 2 } };
    /*! @brief Time between SIGTERM and SIGKILL. */
    Duration stopGrace { std::chrono::seconds { 6 } };
    /*! @brief The state of an ended job stays readable this long. */
    Duration statusRetention { std::chrono::seconds { 120 } };
    /*! @brief Slowdown of work that is far from its data or spans racks. */
    double remoteFactor { 3.0 };

    friend bool operator==(const ClusterBounds&, const ClusterBounds&) = default;
};

/*! @brief Settings of a process, as the deployment gives them. */
struct NodeSettings {
    /*! @brief Name of the VM. */
    std::string node;
    std::string zone;
    /*! @brief Address for clients, on entry VMs. */
    std::optional<Address> clientAddress;
    /*! @brief Address of the readiness check, on entry VMs. */
    std::optional<Address> readinessAddress;
    /*! @brief Address that the executor of this VM announces itself at, or that serves as a seed. */
    std::optional<Address> control;
    /*! @brief Address for the messages between the processes of the system. */
    Address internal;
    /*! @brief Address for metrics and status. */
    Address metrics;
    /*! @brief Messaging addresses of some entries; may be stale. */
    std::vector<Address> seeds;
    Address store;
    /*! @brief Address of the executor on this VM. */
    std::optional<Address> executor;
    /*! @brief Service of the executor on this VM. */
    std::string service;
    /*! @brief Share of a processor core that the VM has, times its number of cores. */
    double processorShare { 1.0 };
    ClusterBounds bounds;

    friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

}
