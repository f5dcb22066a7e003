#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/net/address.h"

#include <cstdint>
#include <string>

namespace lycheespool {

/*! @brief Settings of one load run. */
struct LoadSettings {
    Address target;
    std::string path;
    std::size_t connections { 32 };
    /*! @brief Requests a second over all connections; 0 sends the next one as soon as a response arrives. */
    std::uint64_t rate { 0 };
    Duration duration {};
    std::size_t bodyBytes { 64 };
    std::size_t threads { 2 };
    bool sendKeys { false };
};

/*! @brief Result of one load run; latencies are measured from the scheduled send time of a request. */
struct LoadReport {
    std::uint64_t sent { 0 };
    std::uint64_t done { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t unknown { 0 };
    std::uint64_t failed { 0 };
    /*! @brief Responses whose body differs from the body of their request. */
    std::uint64_t mismatched { 0 };
    double rate { 0 };
    double p50Us { 0 };
    double p99Us { 0 };
    double p999Us { 0 };
    double maxUs { 0 };
};

/**
 * @brief Sends requests with unique bodies and checks that each response echoes the body of its request.
 * @param settings Settings.
 * @return Counts and exact latency quantiles.
 */
[[nodiscard]] LoadReport runLoadGenerator(const LoadSettings& settings);

}
