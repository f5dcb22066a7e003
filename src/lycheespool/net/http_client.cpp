#include "lycheespool/net/http_client.h"

#include "lycheespool/core/error.h"
#include "lycheespool/net/http_connection.h"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lycheespool {

namespace {

constexpr std::size_t maxIdleConnections = 64;

using ConnectionPtr = std::unique_ptr<HttpConnection>;

bool isIdempotentMethod(std::string_view method) { return method == "GET" || method == "PUT" || method == "DELETE"; }

}

struct HttpClient::State {
    explicit State(Address serverAddress)
        : address { std::move(serverAddress) }
    {
    }

    ConnectionPtr takeIdle(const asio::any_io_executor& executor);
    void keepIdle(const asio::any_io_executor& executor, ConnectionPtr connection);
    void dropIdle(const asio::any_io_executor& executor);

    Address address;
    std::mutex mutex;
    std::unordered_map<const void*, std::vector<ConnectionPtr>> idle;
};

ConnectionPtr HttpClient::State::takeIdle(const asio::any_io_executor& executor)
{
    const std::scoped_lock lock { mutex };
    auto& connections = idle[&executor.context()];
    if (connections.empty())
        return nullptr;
    auto connection = std::move(connections.back());
    connections.pop_back();
    return connection;
}

void HttpClient::State::keepIdle(const asio::any_io_executor& executor, ConnectionPtr connection)
{
    const std::scoped_lock lock { mutex };
    auto& connections = idle[&executor.context()];
    if (connections.size() < maxIdleConnections)
        connections.push_back(std::move(connection));
}

void HttpClient::State::dropIdle(const asio::any_io_executor& executor)
{
    const std::scoped_lock lock { mutex };
    idle[&executor.context()].clear();
}

HttpClient::HttpClient(Address address)
    : m_state { std::make_shared<State>(std::move(address)) }
{
}

HttpClient::~HttpClient() = default;

Awaitable<HttpResponse> HttpClient::send(HttpRequest request, Duration timeout)
{
    const auto state = m_state;
    const auto deadline = SteadyClock {}.now() + timeout;
    // A connection or call with no time left still ends with an error of its own.
    const auto remaining
        = [deadline] { return std::max<Duration>(deadline - SteadyClock {}.now(), std::chrono::milliseconds { 1 }); };
    const auto executor = co_await asio::this_coro::executor;
    auto connection = state->takeIdle(executor);
    bool isReused = connection != nullptr;
    while (true) {
        boost::system::error_code ec;
        if (!connection)
            connection = co_await HttpConnection::open(state->address, remaining(), ec);
        if (ec)
            throw Error { ErrorKind::unavailable,
                "cannot connect to " + state->address.toString() + ": " + ec.message(),
                "check that the server runs and that the address is right" };
        auto response = co_await connection->send(request, remaining(), ec);
        if (response) {
            if (connection->isOpen())
                state->keepIdle(executor, std::move(connection));
            co_return std::move(*response);
        }
        if (HttpConnection::isTimeout(ec)) {
            // Connections can fall silent all at once while new ones work, so the next call must not wait for another.
            state->dropIdle(executor);
            throw Error { ErrorKind::outcomeUnknown, "no response from " + state->address.toString() + " in time",
                "ask for the outcome by the same key" };
        }
        if (!isReused || !isIdempotentMethod(request.method))
            throw Error { ErrorKind::outcomeUnknown,
                "connection to " + state->address.toString() + " ended: " + ec.message(),
                "ask for the outcome by the same key" };
        connection.reset();
        isReused = false;
    }
}

}
