#pragma once

#include <atomic>
#include <cstdint>

namespace lycheespool {

/*! @brief Faults of an emulated table that a test switches on and off at any time. */
struct TableFaults {
    /*! @brief Every operation fails as unavailable. */
    std::atomic<bool> down { false };
    /*! @brief Delay of every operation, in milliseconds. */
    std::atomic<std::uint32_t> delayMs { 0 };
    /*! @brief Number of coming commits that take effect but whose answer is lost. */
    std::atomic<std::uint32_t> loseAnswers { 0 };

    /**
     * @brief Consumes one lost answer.
     * @return True when the answer of this commit is to be lost.
     */
    [[nodiscard]] bool takeLostAnswer()
    {
        auto left = loseAnswers.load();
        while (left > 0) {
            if (loseAnswers.compare_exchange_weak(left, left - 1))
                return true;
        }
        return false;
    }
};

}
