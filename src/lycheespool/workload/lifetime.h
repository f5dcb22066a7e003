#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace lycheespool {

/*! @brief Lifetime of an executor process; a restart under the same id begins another lifetime. */
struct Lifetime {
    std::string executor;
    /*! @brief Unix time of the start, ms. */
    std::int64_t startedUnixMs { 0 };
    MSGPACK_DEFINE(executor, startedUnixMs)

    friend auto operator<=>(const Lifetime&, const Lifetime&) = default;

    /**
     * @brief Checks if this names an executor.
     * @return False for the default value.
     */
    [[nodiscard]] bool isKnown() const { return !executor.empty(); }
};

}
