#pragma once

#include <cstdint>

namespace lycheespool {

/*! @brief What a step of the lease changed. */
enum class LeaseEvent : std::uint8_t {
    none,
    /*! @brief This process became the leader; it knows nothing of the time before. */
    taken,
    /*! @brief The own lease had lapsed and was renewed before another process took it. */
    regained,
    /*! @brief Another process is the leader. */
    lost,
};

}
