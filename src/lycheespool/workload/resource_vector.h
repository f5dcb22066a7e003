#pragma once

#include <algorithm>
#include <cstdint>
#include <msgpack.hpp>

namespace lycheespool {

/*! @brief Amount of capacity on one executor: thousandths of a core, memory in MiB, accelerators. */
struct ResourceVector {
    std::int64_t milliCores { 0 };
    std::int64_t memoryMiB { 0 };
    std::int64_t accelerators { 0 };
    MSGPACK_DEFINE(milliCores, memoryMiB, accelerators)

    friend bool operator==(const ResourceVector&, const ResourceVector&) = default;

    /**
     * @brief Tells whether this amount fits into another one.
     * @param room The other amount.
     * @return True when no component exceeds the other one's.
     */
    [[nodiscard]] bool fitsInto(const ResourceVector& room) const
    {
        return milliCores <= room.milliCores && memoryMiB <= room.memoryMiB && accelerators <= room.accelerators;
    }

    /**
     * @brief Counts how many of this amount fit into another one.
     * @param room The other amount.
     * @return Number, at most @ref unlimited.
     */
    [[nodiscard]] std::int64_t copiesIn(const ResourceVector& room) const
    {
        const auto ratio = [](std::int64_t have, std::int64_t need) {
            if (have < 0)
                return std::int64_t { 0 };
            return need > 0 ? have / need : unlimited;
        };
        return std::min({ ratio(room.milliCores, milliCores), ratio(room.memoryMiB, memoryMiB),
            ratio(room.accelerators, accelerators) });
    }

    ResourceVector& operator+=(const ResourceVector& other)
    {
        milliCores += other.milliCores;
        memoryMiB += other.memoryMiB;
        accelerators += other.accelerators;
        return *this;
    }

    ResourceVector& operator-=(const ResourceVector& other)
    {
        milliCores -= other.milliCores;
        memoryMiB -= other.memoryMiB;
        accelerators -= other.accelerators;
        return *this;
    }

    /*! @brief Result of copiesIn() for an amount of zero. */
    static constexpr std::int64_t unlimited = 1'000'000'000;
};

}
