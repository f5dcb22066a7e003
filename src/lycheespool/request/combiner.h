#pragma once

#include <atomic>
#include <cstddef>

namespace lycheespool {

/**
 * @brief Runs a function for many threads on one of them at a time, without a lock that others wait for.
 *
 * A thread that finds the function running leaves a note and goes on; the running thread then runs it once more.
 */
class Combiner {
public:
    /**
     * @brief Runs the function, or has it run by the thread that runs it now.
     * @tparam Function Callable as `void()`.
     * @param function The function; it sees everything that was written before any of the calls that it serves.
     */
    template <typename Function>
    void run(Function function)
    {
        if (m_calls.fetch_add(1) != 0)
            return;
        std::size_t served = 1;
        while (served > 0) {
            function();
            served = m_calls.fetch_sub(served) - served;
        }
    }

private:
    std::atomic<std::size_t> m_calls { 0 };
};

}
