#pragma once

#include <cstdint>

namespace lycheespool {

/*! @brief Change of leadership in a step of the election. */
enum class LeaseEvent : std::uint8_t {
    none,
    /*! @brief This process became the leader and has no state of the time before. */
    taken,
    /*! @brief The lease of this process expired and was renewed before another process took it. */
    regained,
    /*! @brief Another process is the leader. */
    lost,
};

}
