#pragma once

#include "lycheespool/wire/messages.h"

#include <optional>

namespace lycheespool {

/*! @brief Decision of an agent on a received non-idempotent request. */
struct LedgerDecision {
    /*! @brief True if the request must be sent to the executor. */
    bool run { false };
    /*! @brief Outcome of the reply if the request is not run; status and body follow. */
    Outcome outcome { Outcome::unknown };
    unsigned status { 0 };
    std::string body;
};

}
