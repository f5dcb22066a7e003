#pragma once

#include <random>

namespace lycheespool {

/*! @brief Random bits from a thread-local generator, so that threads need no lock. */
struct ThreadRandom {
    using result_type = std::minstd_rand::result_type;

    [[nodiscard]] static constexpr result_type min() { return std::minstd_rand::min(); }
    [[nodiscard]] static constexpr result_type max() { return std::minstd_rand::max(); }

    /**
     * @brief Draws a random number.
     * @return Random bits.
     */
    result_type operator()() const
    {
        static thread_local std::minstd_rand generator { std::random_device {}() };
        return generator();
    }
};

}
