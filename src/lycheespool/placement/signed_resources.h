#pragma once

#include "lycheespool/placement/resources.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace lycheespool {

/**
 * @brief Signed capacity of one worker: cores, memory in MiB, accelerators.
 *
 * Signed because the capacity claimed for a gang is negative until the gangs that it replaces have stopped.
 */
struct SignedResources {
    std::int32_t cores { 0 };
    std::int32_t memoryMiB { 0 };
    std::int32_t accelerators { 0 };

    friend bool operator==(const SignedResources&, const SignedResources&) = default;

    /**
     * @brief Converts declared resources; larger components are clamped to 1/64 of the signed range.
     * @param resources The declared resources.
     * @return The signed resources.
     */
    [[nodiscard]] static constexpr SignedResources of(const Resources& resources)
    {
        return { narrow(resources.cores), narrow(resources.memoryMiB), narrow(resources.accelerators) };
    }

    /**
     * @brief Returns the capacity of a worker that accepts no tasks.
     * @return A value into which nothing fits, not even a task that needs nothing.
     */
    [[nodiscard]] static constexpr SignedResources unavailable() { return { -1, -1, -1 }; }

    constexpr SignedResources& operator+=(const SignedResources& other)
    {
        cores += other.cores;
        memoryMiB += other.memoryMiB;
        accelerators += other.accelerators;
        return *this;
    }

    constexpr SignedResources& operator-=(const SignedResources& other) { return *this += other * -1; }

    friend constexpr SignedResources operator+(SignedResources left, const SignedResources& right)
    {
        return left += right;
    }
    friend constexpr SignedResources operator-(SignedResources left, const SignedResources& right)
    {
        return left -= right;
    }
    friend constexpr SignedResources operator*(const SignedResources& amount, std::int32_t n)
    {
        return { amount.cores * n, amount.memoryMiB * n, amount.accelerators * n };
    }

    /**
     * @brief Checks if these resources fit into a capacity.
     * @param available The capacity.
     * @return True when the capacity is not negative and no component exceeds it.
     */
    [[nodiscard]] constexpr bool fitsInto(const SignedResources& available) const
    {
        return available.countTasks(*this, 1) == 1;
    }

    /**
     * @brief Counts the tasks that fit.
     * @param need Resources of one task.
     * @param limit Maximum result.
     * @return Number of tasks, at most the limit; 0 when a component is negative.
     */
    [[nodiscard]] constexpr std::uint32_t countTasks(const SignedResources& need, std::uint32_t limit) const
    {
        if (cores < 0 || memoryMiB < 0 || accelerators < 0)
            return 0;
        return std::min({ limit, quotient(cores, need.cores), quotient(memoryMiB, need.memoryMiB),
            quotient(accelerators, need.accelerators) });
    }

    /**
     * @brief Returns the component-wise minimum.
     * @param left One value.
     * @param right The other value.
     * @return The largest value that fits into both.
     */
    [[nodiscard]] friend constexpr SignedResources componentMin(
        const SignedResources& left, const SignedResources& right)
    {
        return { std::min(left.cores, right.cores), std::min(left.memoryMiB, right.memoryMiB),
            std::min(left.accelerators, right.accelerators) };
    }

private:
    [[nodiscard]] static constexpr std::int32_t narrow(std::uint32_t n)
    {
        // 1/64 of the range, so that the sum over a gang of maxGangTasks tasks cannot overflow.
        constexpr std::uint32_t largest = std::numeric_limits<std::int32_t>::max() / 64;
        return static_cast<std::int32_t>(std::min(n, largest));
    }

    [[nodiscard]] static constexpr std::uint32_t quotient(std::int32_t available, std::int32_t need)
    {
        return need > 0 ? static_cast<std::uint32_t>(available / need) : std::numeric_limits<std::uint32_t>::max();
    }
};

}
