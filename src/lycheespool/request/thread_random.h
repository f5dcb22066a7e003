#pragma once

#include <random>

namespace lycheespool {

/*! @brief Random bits from a generator of the calling thread, so that threads neither share nor lock one. */
struct ThreadRandom {
    using result_type = std::minstd_rand::result_type;

    [[nodiscard]] static constexpr result_type min() { return std::minstd_rand::min(); }
    [[nodiscard]] static constexpr result_type max() { return std::minstd_rand::max(); }

    /**
     * @brief Draws.
     * @return Random bits.
     */
    result_type operator()() const
    {
        static thread_local std::minstd_rand generator { std::random_device {}() };
        return generator();
    }
};

}
