#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/net/address.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Limits that the deployment guarantees or requires. */
struct ClusterBounds {
    /*! @brief Longest lease that an executor accepts. */
    Duration maxLease { std::chrono::seconds { 10 } };
    /*! @brief Maximum time that an executor takes to stop a task. */
    Duration taskStop { std::chrono::milliseconds { 400 } };
    /*! @brief All members of a gang must start within this time. */
    Duration gangAssembly { std::chrono::seconds { 3 } };
    /*! @brief Time from the restart of a task from a checkpoint until it makes progress. */
    Duration restore { std::chrono::milliseconds { 250 } };
    /*! @brief Run time between two checkpoints of a task. */
    Duration checkpointInterval { std::chrono::seconds { 1 } };
    /*! @brief A config change must take effect within this time after its acknowledgement. */
    Duration configApply { std::chrono::seconds { 2 } };
    /*! @brief No task of a job starts later than this after the acknowledgement of its cancellation. */
    Duration cancelApply { std::chrono::seconds { 3 } };
    /*! @brief Time between SIGTERM and SIGKILL. */
    Duration stopGrace { std::chrono::seconds { 6 } };
    /*! @brief Minimum time for which the state of an ended job remains readable. */
    Duration statusRetention { std::chrono::seconds { 120 } };
    /*! @brief Factor by which work runs slower when it is remote from its data or spans racks. */
    double remoteFactor { 3.0 };

    friend bool operator==(const ClusterBounds&, const ClusterBounds&) = default;
};

/*! @brief Settings that the deployment provides to a process. */
struct NodeSettings {
    /*! @brief Name of the VM. */
    std::string node;
    std::string zone;
    /*! @brief Address that serves clients; only on entry VMs. */
    std::optional<Address> clientAddress;
    /*! @brief Address of the readiness check; only on entry VMs. */
    std::optional<Address> readinessAddress;
    /*! @brief Address that receives the announcements of this VM's executor, or that serves as a seed. */
    std::optional<Address> control;
    /*! @brief Address for messages between the processes of the system. */
    Address internal;
    /*! @brief Address for metrics and status. */
    Address metrics;
    /*! @brief Messaging addresses of some entries; may be outdated. */
    std::vector<Address> seeds;
    Address store;
    /*! @brief Maximum size of a row's value in the store, in bytes. */
    std::size_t rowBytes { 65536 };
    /*! @brief Address of the executor on this VM. */
    std::optional<Address> executor;
    /*! @brief Service of the executor on this VM. */
    std::string service;
    /*! @brief CPU capacity of the VM in cores: the share of each core times the number of cores. */
    double processorShare { 1.0 };
    ClusterBounds bounds;

    friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

}
