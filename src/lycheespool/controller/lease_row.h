#pragma once

#include "lycheespool/core/clock.h"

#include <chrono>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace lycheespool {

/*! @brief Time after its last renewal for which the holder of the leader lease may act. */
inline constexpr Duration leaderLeaseTerm = std::chrono::milliseconds { 1700 };

/*! @brief Row of the leader lease. */
struct LeaseRow {
    /*! @brief Name of the holder's VM; empty after the lease was released. */
    std::string holder;
    /*! @brief Distinguishes the processes of one VM. */
    std::uint64_t incarnation { 0 };
    /*! @brief Address to which agents send reports. */
    std::string address;
    std::uint64_t epoch { 0 };
    MSGPACK_DEFINE(holder, incarnation, address, epoch)
};

}
