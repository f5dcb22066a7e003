#pragma once

#include <algorithm>
#include <cstdint>
#include <msgpack.hpp>

namespace lycheespool {

/*! @brief Amounts of the resources of an executor: thousandths of a core, memory in MiB, accelerators. */
struct ResourceVector {
    std::int64_t milliCores { 0 };
    std::int64_t memoryMiB { 0 };
    std::int64_t accelerators { 0 };
    MSGPACK_DEFINE(milliCores, memoryMiB, accelerators)

    friend bool operator==(const ResourceVector&, const ResourceVector&) = default;

    /**
     * @brief Checks if this amount fits into another one.
     * @param available The other amount.
     * @return True if no component exceeds that of the other amount.
     */
    [[nodiscard]] bool fitsInto(const ResourceVector& available) const
    {
        return milliCores <= available.milliCores && memoryMiB <= available.memoryMiB
            && accelerators <= available.accelerators;
    }

    /**
     * @brief Returns how many times this amount fits into another one.
     * @param available The other amount.
     * @return Number, at most @ref unlimited.
     */
    [[nodiscard]] std::int64_t copiesIn(const ResourceVector& available) const
    {
        const auto ratio = [](std::int64_t free, std::int64_t need) {
            if (free < 0)
                return std::int64_t { 0 };
            return need > 0 ? free / need : unlimited;
        };
        return std::min({ ratio(available.milliCores, milliCores), ratio(available.memoryMiB, memoryMiB),
            ratio(available.accelerators, accelerators) });
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
