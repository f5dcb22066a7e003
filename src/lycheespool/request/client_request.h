#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace lycheespool {

/*! @brief Priority of a request among the waiting requests of its workspace. */
enum class RequestPriority : std::uint8_t { low, normal, high };

/*! @brief A client's request, which any executor may run. */
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
