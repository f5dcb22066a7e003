#pragma once

#include <string>

namespace lycheespool {

/*! @brief An executor's answer as stored in a claim row. */
struct StoredAnswer {
    unsigned status { 0 };
    std::string body;
    /*! @brief False if the body was too large to be stored; the body is empty then. */
    bool complete { true };
};

}
