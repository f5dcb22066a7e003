#pragma once

#include "lycheespool/net/asio.h"
#include "lycheespool/net/signal.h"

#include <exception>
#include <memory>
#include <vector>

namespace lycheespool {

/**
 * @brief Result of one of several coroutines that ran at the same time.
 * @tparam Result Type of the result.
 */
template <typename Result>
struct Settled {
    Result value {};
    /*! @brief Set when the coroutine threw. */
    std::exception_ptr error;
};

/**
 * @brief Runs coroutines concurrently on the caller's executor and waits for all of them.
 * @tparam Result Type of their results.
 * @param operations The coroutines, not yet started.
 * @return Results in the order of the operations.
 */
template <typename Result>
[[nodiscard]] Awaitable<std::vector<Settled<Result>>> whenAll(std::vector<Awaitable<Result>> operations)
{
    struct State {
        State(const asio::any_io_executor& executor, std::size_t n)
            : signal { executor }
            , results(n)
            , left { n }
        {
        }

        Signal signal;
        std::vector<Settled<Result>> results;
        std::size_t left;
    };
    const auto executor = co_await asio::this_coro::executor;
    const auto state = std::make_shared<State>(executor, operations.size());
    for (std::size_t i = 0; i < operations.size(); ++i) {
        asio::co_spawn(executor, std::move(operations[i]), [state, i](std::exception_ptr error, Result value) {
            state->results[i].error = std::move(error);
            state->results[i].value = std::move(value);
            if (--state->left == 0)
                state->signal.notifyAll();
        });
    }
    while (state->left > 0)
        co_await state->signal.wait();
    co_return std::move(state->results);
}

}
