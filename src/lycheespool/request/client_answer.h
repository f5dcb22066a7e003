#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/wire/messages.h"

#include <optional>
#include <string>

namespace lycheespool {

/*! @brief Final answer to a client's request. */
struct ClientAnswer {
    Outcome outcome { Outcome::unknown };
    /*! @brief HTTP status; the executor's own status if done. */
    unsigned status { 0 };
    std::string body;
    /*! @brief Reason why the request was not run or its outcome is unknown. */
    std::string reason;
    /*! @brief Time after which the client should retry, for answers that are not done. */
    std::optional<Duration> retryAfter;
};

}
