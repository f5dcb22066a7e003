#pragma once

#include <compare>
#include <cstdint>

namespace lycheespool {

/*! @brief Amount of capacity on one worker: processor cores, memory in MiB, accelerators. */
struct Resources {
    std::uint32_t cores { 0 };
    std::uint32_t memoryMiB { 0 };
    std::uint32_t accelerators { 0 };

    friend bool operator==(const Resources&, const Resources&) = default;

    /**
     * @brief Tells whether this amount fits into another one.
     * @param room The other amount.
     * @return True when no component exceeds the other one's.
     */
    [[nodiscard]] constexpr bool fitsInto(const Resources& room) const
    {
        return cores <= room.cores && memoryMiB <= room.memoryMiB && accelerators <= room.accelerators;
    }

    constexpr Resources& operator+=(const Resources& other)
    {
        cores += other.cores;
        memoryMiB += other.memoryMiB;
        accelerators += other.accelerators;
        return *this;
    }

    constexpr Resources& operator-=(const Resources& other)
    {
        cores -= other.cores;
        memoryMiB -= other.memoryMiB;
        accelerators -= other.accelerators;
        return *this;
    }
};

}
