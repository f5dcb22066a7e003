#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace lycheespool {

/*! @brief One run of an executor process; an executor that restarts under its id is another lifetime. */
struct Lifetime {
    std::string executor;
    /*! @brief Unix time of the start, ms. */
    std::int64_t startedUnixMs { 0 };
    MSGPACK_DEFINE(executor, startedUnixMs)

    friend auto operator<=>(const Lifetime&, const Lifetime&) = default;

    /**
     * @brief Tells whether this names an executor.
     * @return False for the default value.
     */
    [[nodiscard]] bool isKnown() const { return !executor.empty(); }
};

}
