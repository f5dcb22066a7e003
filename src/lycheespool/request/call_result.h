#pragma once

#include "lycheespool/wire/messages.h"

#include <string>

namespace lycheespool {

/*! @brief Outcome of one dispatch of a request to an executor. */
struct CallResult {
    /*! @brief `notRun` only if the request was not sent, or if the incarnation that received it reported so. */
    Outcome outcome { Outcome::unknown };
    unsigned status { 0 };
    std::string body;
    std::string reason;
    /*! @brief True if the executor refused because all its slots were in use; this does not count as a failure. */
    bool noFreeSlot { false };
};

}
