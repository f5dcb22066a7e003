#include "lycheespool/net/io_pool.h"

#include "lycheespool/net/rpc_server.h"
#include "lycheespool/net/sleep.h"

#include <doctest/doctest.h>

#include <future>

using namespace lycheespool;

namespace {

Awaitable<> connectAndWait(Address address, Metrics& metrics, std::promise<void>& connected)
{
    asio::ip::tcp::socket socket { co_await asio::this_coro::executor };
    const auto endpoint = address.endpoint();
    co_await socket.async_connect(endpoint, asio::use_awaitable);
    const auto connection = std::make_shared<RpcConnection>(std::move(socket), metrics);
    connected.set_value();
    RpcConnection::Handler handler = [](const auto&, Envelope) {};
    co_await connection->run(handler);
}

}

// Guards against a process that crashes at its end: a coroutine suspended on one thread's context owned sockets of
// another context that was destroyed first.
TEST_CASE("a pool with open connections on all of its threads can be destroyed")
{
    Metrics metrics;
    for (int round = 0; round < 5; ++round) {
        IoPool pool { 4 };
        RpcServer server { pool, { "127.0.0.1", 0 }, metrics, [](const auto&, Envelope) {}, [](const auto&) {} };
        server.start();
        for (int i = 0; i < 8; ++i) {
            std::promise<void> connected;
            auto future = connected.get_future();
            asio::co_spawn(pool.next(), connectAndWait(server.address(), metrics, connected), asio::detached);
            future.get();
        }
        pool.stop();
    }
}
