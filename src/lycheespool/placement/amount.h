#pragma once

#include "lycheespool/placement/resources.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace lycheespool {

/**
 * @brief Signed capacity of one worker: cores, memory in MiB, accelerators.
 *
 * Signed because room that is promised to a gang is negative until the gangs that it replaces have stopped.
 */
struct Amount {
    std::int32_t cores { 0 };
    std::int32_t memoryMiB { 0 };
    std::int32_t accelerators { 0 };

    friend bool operator==(const Amount&, const Amount&) = default;

    /**
     * @brief Converts a declared amount; components beyond the signed range are cut to its maximum.
     * @param resources The declared amount.
     * @return The signed amount.
     */
    [[nodiscard]] static constexpr Amount of(const Resources& resources)
    {
        return { narrow(resources.cores), narrow(resources.memoryMiB), narrow(resources.accelerators) };
    }

    /**
     * @brief Gives the room of a worker that takes no tasks.
     * @return An amount into which nothing fits, not even a task that needs nothing.
     */
    [[nodiscard]] static constexpr Amount none() { return { -1, -1, -1 }; }

    constexpr Amount& operator+=(const Amount& other)
    {
        cores += other.cores;
        memoryMiB += other.memoryMiB;
        accelerators += other.accelerators;
        return *this;
    }

    constexpr Amount& operator-=(const Amount& other) { return *this += other * -1; }

    friend constexpr Amount operator+(Amount left, const Amount& right) { return left += right; }
    friend constexpr Amount operator-(Amount left, const Amount& right) { return left -= right; }
    friend constexpr Amount operator*(const Amount& amount, std::int32_t n)
    {
        return { amount.cores * n, amount.memoryMiB * n, amount.accelerators * n };
    }

    /**
     * @brief Tells whether this amount fits into another one.
     * @param room The other amount.
     * @return True when the room is not negative and no component exceeds it.
     */
    [[nodiscard]] constexpr bool fitsInto(const Amount& room) const { return room.tasks(*this, 1) == 1; }

    /**
     * @brief Counts the tasks that fit.
     * @param need Need of one task.
     * @param limit Largest answer.
     * @return Number of tasks, at most the limit; 0 when a component is negative.
     */
    [[nodiscard]] constexpr std::uint32_t tasks(const Amount& need, std::uint32_t limit) const
    {
        if (cores < 0 || memoryMiB < 0 || accelerators < 0)
            return 0;
        return std::min({ limit, quotient(cores, need.cores), quotient(memoryMiB, need.memoryMiB),
            quotient(accelerators, need.accelerators) });
    }

    /**
     * @brief Takes the smaller one of two amounts by component.
     * @param left One amount.
     * @param right The other one.
     * @return What fits into both.
     */
    [[nodiscard]] friend constexpr Amount least(const Amount& left, const Amount& right)
    {
        return { std::min(left.cores, right.cores), std::min(left.memoryMiB, right.memoryMiB),
            std::min(left.accelerators, right.accelerators) };
    }

private:
    [[nodiscard]] static constexpr std::int32_t narrow(std::uint32_t n)
    {
        // One 64th of the range, so that the sum over the largest gang cannot overflow.
        constexpr std::uint32_t largest = std::numeric_limits<std::int32_t>::max() / 64;
        return static_cast<std::int32_t>(std::min(n, largest));
    }

    [[nodiscard]] static constexpr std::uint32_t quotient(std::int32_t room, std::int32_t need)
    {
        return need > 0 ? static_cast<std::uint32_t>(room / need) : std::numeric_limits<std::uint32_t>::max();
    }
};

}
