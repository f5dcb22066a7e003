#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace lycheespool {

/*! @brief Importance of a request among those that wait. */
enum class RequestPriority : std::uint8_t { low, normal, high };

/*! @brief A client's request to be run by any executor. */
struct ClientRequest {
    WorkspaceId workspace;
    /*! @brief Idempotency key; empty only for idempotent requests. */
    RequestKey key;
    bool idempotent { true };
    RequestPriority priority { RequestPriority::normal };
    /*! @brief Time that the client waits for the answer. */
    Duration timeout { std::chrono::seconds { 10 } };
    std::string body;
};

}
