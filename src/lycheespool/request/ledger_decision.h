#pragma once

#include "lycheespool/wire/messages.h"

#include <optional>

namespace lycheespool {

/*! @brief What an agent does with a non-idempotent request that arrived. */
struct LedgerDecision {
    /*! @brief True when the request is to be sent to the executor. */
    bool run { false };
    /*! @brief Otherwise the outcome, status and body of the reply. */
    Outcome outcome { Outcome::unknown };
    unsigned status { 0 };
    std::string body;
};

}
