#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/net/address.h"

#include <chrono>
#include <string>

namespace lycheespool {

/*! @brief Settings of an entry. */
struct EntrySettings {
    EntryId id;
    Incarnation incarnation;
    ZoneId zone;
    /*! @brief Scheduling domain whose leader lease this entry may hold. */
    std::string domain { "default" };
    /*! @brief Address for clients and operators. */
    Address http;
    /*! @brief Address for agents. */
    Address rpc;
    /*! @brief Address of the platform's table service. */
    Address table;
    /*! @brief Maximum time that a planned stop waits for requests in flight. */
    Duration drainTimeout { std::chrono::seconds { 30 } };
};

}
