#pragma once

#include "soak/soak_bounds.h"

#include "lycheespool/net/http_message.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace lycheespool::soak {

/*! @brief Gives whole milliseconds, the unit of the wire format. */
[[nodiscard]] inline std::int64_t toMs(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/*! @brief Ends the connection instead of answering. */
[[nodiscard]] inline HttpResponse lostAnswer()
{
    HttpResponse response;
    response.dropConnection = true;
    return response;
}

/*! @brief Longest time after which a call without an answer is carried out. */
inline constexpr Duration longestLateTime = 3s;

/*! @brief Draws the time after which a call without an answer is carried out. */
[[nodiscard]] inline Duration drawLateTime(std::mt19937_64& random)
{
    constexpr Duration shortestLateTime = 500ms;
    std::uniform_int_distribution<std::int64_t> ms { toMs(shortestLateTime), toMs(longestLateTime) };
    return std::chrono::milliseconds { ms(random) };
}

/*! @brief Decides whether a fault that hits a share of the calls hits this one. */
[[nodiscard]] inline bool isHit(std::mt19937_64& random, double share)
{
    return std::uniform_real_distribution<double> {}(random) < share;
}

}
