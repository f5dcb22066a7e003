#pragma once

#include "soak/soak_bounds.h"

#include "lycheespool/net/http_message.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace lycheespool::soak {

/*! @brief Returns whole milliseconds, the unit of the wire format. */
[[nodiscard]] inline std::int64_t toMs(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/*! @brief Returns a response that closes the connection without an answer. */
[[nodiscard]] inline HttpResponse droppedResponse()
{
    HttpResponse response;
    response.dropConnection = true;
    return response;
}

/*! @brief Maximum delay before a call without a response is executed. */
inline constexpr Duration maxLateDelay = 3s;

/*! @brief Returns a random delay before a call without a response is executed. */
[[nodiscard]] inline Duration randomLateDelay(std::mt19937_64& random)
{
    constexpr Duration minLateDelay = 500ms;
    std::uniform_int_distribution<std::int64_t> ms { toMs(minLateDelay), toMs(maxLateDelay) };
    return std::chrono::milliseconds { ms(random) };
}

/*! @brief Decides at random if a fault that affects a share of the calls affects this one. */
[[nodiscard]] inline bool isAffected(std::mt19937_64& random, double share)
{
    return std::uniform_real_distribution<double> {}(random) < share;
}

}
