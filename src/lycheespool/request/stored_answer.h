#pragma once

#include <string>

namespace lycheespool {

/*! @brief An executor's answer as a claim row keeps it. */
struct StoredAnswer {
    unsigned status { 0 };
    std::string body;
    /*! @brief False when the body was too large to be stored; it is empty then. */
    bool complete { true };
};

}
