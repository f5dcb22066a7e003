#pragma once

#include <atomic>
#include <cstddef>

namespace lycheespool {

/**
 * @brief Combines concurrent calls of a function into runs on one thread at a time, without blocking the other threads.
 *
 * A thread that finds the function running increments a counter and returns; the running thread then runs it again.
 */
class Combiner {
public:
    /**
     * @brief Runs the function, or makes the thread that is running it run it again.
     * @tparam Function Callable as `void()`.
     * @param function The function; it sees all writes made before the calls that the run serves.
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
