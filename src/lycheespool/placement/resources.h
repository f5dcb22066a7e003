#pragma once

#include <compare>
#include <cstdint>

namespace lycheespool {

/*! @brief Resources on one worker: processor cores, memory in MiB, accelerators. */
struct Resources {
    std::uint32_t cores { 0 };
    std::uint32_t memoryMiB { 0 };
    std::uint32_t accelerators { 0 };

    friend bool operator==(const Resources&, const Resources&) = default;

    /**
     * @brief Checks if these resources fit into a capacity.
     * @param available The capacity.
     * @return True when no component exceeds the capacity.
     */
    [[nodiscard]] constexpr bool fitsInto(const Resources& available) const
    {
        return cores <= available.cores && memoryMiB <= available.memoryMiB && accelerators <= available.accelerators;
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
