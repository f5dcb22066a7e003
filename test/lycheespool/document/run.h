#pragma once

#include "lycheespool/net/asio.h"

#include <exception>
#include <optional>

namespace lycheespool::test {

/*! @brief Runs one coroutine to completion on its own io_context. */
template <typename Result>
Result run(Awaitable<Result> work)
{
    asio::io_context io;
    std::optional<Result> result;
    std::exception_ptr failure;
    asio::co_spawn(io, std::move(work), [&](const std::exception_ptr& error, Result value) {
        failure = error;
        result = std::move(value);
    });
    io.run();
    if (failure)
        std::rethrow_exception(failure);
    return std::move(*result);
}

}
