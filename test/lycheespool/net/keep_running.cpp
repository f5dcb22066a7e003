#include "lycheespool/net/keep_running.h"

#include <doctest/doctest.h>

#include <stdexcept>

using namespace lycheespool;

// Guards against a process that goes on without one of its loops.
TEST_CASE("a loop that throws is started again until it returns")
{
    asio::io_context context;
    int starts = 0;
    const auto loop = [&starts]() -> Awaitable<> {
        if (++starts == 1)
            throw std::runtime_error { "unexpected" };
        co_return;
    };
    asio::co_spawn(context, keepRunning("loop", loop), asio::detached);
    context.run();
    CHECK(starts == 2);
}
