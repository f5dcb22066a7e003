#include "lycheespool/net/http_client.h"

#include "lycheespool/core/error.h"
#include "lycheespool/net/io_pool.h"
#include "lycheespool/net/sleep.h"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <future>
#include <vector>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

/*! @brief Server that answers the first call of each of its first connections only; later connections work. */
class FallingSilent {
public:
    FallingSilent(IoPool& pool, int silentConnections)
        : m_acceptor { pool.context(), { asio::ip::make_address("127.0.0.1"), 0 } }
        , m_silentConnections { silentConnections }
    {
        asio::co_spawn(pool.context(), acceptLoop(), asio::detached);
    }

    [[nodiscard]] Address address() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

private:
    Awaitable<> acceptLoop()
    {
        while (true) {
            auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            const bool fallsSilent = m_accepted++ < m_silentConnections;
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket), fallsSilent), asio::detached);
        }
    }

    static Awaitable<> serve(asio::ip::tcp::socket socket, bool fallsSilent)
    {
        constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        // Both first calls are under way before one is answered, so that they use two connections.
        constexpr Duration answerTime = 100ms;
        std::array<char, 4096> buf {};
        boost::system::error_code ec;
        for (int calls = 0; !ec; ++calls) {
            co_await socket.async_read_some(asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
            if (ec || (fallsSilent && calls > 0))
                continue;
            co_await sleepFor(answerTime);
            co_await asio::async_write(socket, asio::buffer(answer), asio::redirect_error(asio::use_awaitable, ec));
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
    int m_silentConnections;
    int m_accepted { 0 };
};

constexpr unsigned failedCall = 0;

Awaitable<unsigned> callServer(HttpClient& client, Duration timeout)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/";
    try {
        const auto response = co_await client.send(std::move(request), timeout);
        co_return response.status;
    } catch (const Error&) {
        // Rethrown by a future, the exception would be shared by two threads; its reference count is part of a library
        // that the thread sanitizer does not see.
        co_return failedCall;
    }
}

/*! @brief Calls the server on the pool's thread; returns the status of the response, or failedCall. */
std::future<unsigned> send(IoPool& pool, HttpClient& client, Duration timeout)
{
    return asio::co_spawn(pool.context(), callServer(client, timeout), asio::use_future);
}

}

// Guards against calls that time out one after another: connections that stay open can all fall silent at once, while
// new ones work.
TEST_CASE("a call that times out takes the other idle connections with it")
{
    IoPool pool { 1 };
    FallingSilent server { pool, 2 };
    HttpClient client { server.address() };
    auto first = send(pool, client, 5s);
    auto second = send(pool, client, 5s);
    CHECK(first.get() == 200);
    CHECK(second.get() == 200);
    auto silent = send(pool, client, 300ms);
    CHECK(silent.get() == failedCall);
    auto next = send(pool, client, 5s);
    CHECK(next.get() == 200);
    pool.stop();
}

// Guards against a call that takes its timeout once for the idle connection, and again for the connection after it.
TEST_CASE("a call that is repeated over a new connection ends at its timeout")
{
    static constexpr Duration closeTime = 1000ms;
    static constexpr Duration timeout = 1200ms;
    IoPool pool { 1 };
    asio::ip::tcp::acceptor acceptor { pool.context(), { asio::ip::make_address("127.0.0.1"), 0 } };
    const Address address { "127.0.0.1", acceptor.local_endpoint().port() };
    const auto serve = [&acceptor]() -> Awaitable<> {
        constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        std::array<char, 4096> buf {};
        auto first = co_await acceptor.async_accept(asio::use_awaitable);
        co_await first.async_read_some(asio::buffer(buf), asio::use_awaitable);
        co_await asio::async_write(first, asio::buffer(answer), asio::use_awaitable);
        co_await first.async_read_some(asio::buffer(buf), asio::use_awaitable);
        co_await sleepFor(closeTime);
        first.close();
        auto second = co_await acceptor.async_accept(asio::use_awaitable);
        co_await sleepFor(10 * timeout);
    };
    asio::co_spawn(pool.context(), serve, asio::detached);
    HttpClient client { address };
    const auto get = [&client]() -> Awaitable<unsigned> {
        HttpRequest request;
        request.method = "GET";
        request.path = "/";
        try {
            const auto response = co_await client.send(std::move(request), timeout);
            co_return response.status;
        } catch (const Error&) {
            co_return failedCall;
        }
    };
    CHECK(asio::co_spawn(pool.context(), get, asio::use_future).get() == 200);
    const auto sent = SteadyClock {}.now();
    CHECK(asio::co_spawn(pool.context(), get, asio::use_future).get() == failedCall);
    CHECK(SteadyClock {}.now() - sent < closeTime + timeout - 100ms);
    pool.stop();
}
