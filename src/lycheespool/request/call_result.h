#pragma once

#include "lycheespool/wire/messages.h"

#include <string>

namespace lycheespool {

/*! @brief What became of one dispatch of a request to an executor. */
struct CallResult {
    /*! @brief `notRun` only with evidence: not sent, or reported by the incarnation that it was sent to. */
    Outcome outcome { Outcome::unknown };
    unsigned status { 0 };
    std::string body;
    std::string reason;
    /*! @brief True when the executor refused because all its slots were taken, which is no failure of it. */
    bool full { false };
};

}
