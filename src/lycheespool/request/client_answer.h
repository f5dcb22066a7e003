#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/wire/messages.h"

#include <optional>
#include <string>

namespace lycheespool {

/*! @brief The one final answer to a client's request. */
struct ClientAnswer {
    Outcome outcome { Outcome::unknown };
    /*! @brief HTTP status: the executor's own when done. */
    unsigned status { 0 };
    std::string body;
    /*! @brief Why the request was not run or its outcome is unknown. */
    std::string reason;
    /*! @brief When the client should come back, for answers that are not done. */
    std::optional<Duration> retryAfter;
};

}
