#include "lycheespool/net/http_client.h"

#include "lycheespool/core/error.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <mutex>
#include <unordered_map>
#include <vector>

namespace lycheespool {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t maxIdleConnections = 64;

struct Connection {
    explicit Connection(const asio::any_io_executor& executor)
        : stream { executor }
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buf;
    bool reused { false };
};

using ConnectionPtr = std::unique_ptr<Connection>;

http::request<http::string_body> toMessage(HttpRequest&& request, const std::string& host)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.path);
    message.set(http::field::host, host);
    for (const auto& [name, value] : request.fields)
        message.set(name, value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

HttpResponse toResponse(http::response<http::string_body>&& message)
{
    HttpResponse response;
    response.status = message.result_int();
    for (const auto& it : message)
        response.fields.emplace_back(std::string { it.name_string() }, std::string { it.value() });
    response.contentType = std::string { message[http::field::content_type] };
    response.body = std::move(message.body());
    return response;
}

bool isIdempotentMethod(std::string_view method) { return method == "GET" || method == "PUT" || method == "DELETE"; }

}

struct HttpClient::State {
    explicit State(Address serverAddress)
        : address { std::move(serverAddress) }
    {
    }

    Awaitable<ConnectionPtr> connect(Duration timeout) const;
    ConnectionPtr takeIdle(const asio::any_io_executor& executor);
    void keepIdle(const asio::any_io_executor& executor, ConnectionPtr connection);
    void dropIdle(const asio::any_io_executor& executor);

    Address address;
    std::mutex mutex;
    std::unordered_map<const void*, std::vector<ConnectionPtr>> idle;
};

Awaitable<ConnectionPtr> HttpClient::State::connect(Duration timeout) const
{
    const auto executor = co_await asio::this_coro::executor;
    auto connection = std::make_unique<Connection>(executor);
    boost::system::error_code ec;
    connection->stream.expires_after(timeout);
    const auto endpoint = address.endpoint();
    co_await connection->stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
        throw Error { ErrorKind::unavailable, "cannot connect to " + address.toString() + ": " + ec.message(),
            "check that the server runs and that the address is right" };
    connection->stream.socket().set_option(asio::ip::tcp::no_delay { true }, ec);
    co_return connection;
}

ConnectionPtr HttpClient::State::takeIdle(const asio::any_io_executor& executor)
{
    const std::scoped_lock lock { mutex };
    auto& connections = idle[&executor.context()];
    if (connections.empty())
        return nullptr;
    auto connection = std::move(connections.back());
    connections.pop_back();
    connection->reused = true;
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
    const auto executor = co_await asio::this_coro::executor;
    const bool idempotent = isIdempotentMethod(request.method);
    const auto message = toMessage(std::move(request), state->address.toString());
    auto connection = state->takeIdle(executor);
    while (true) {
        if (!connection)
            connection = co_await state->connect(timeout);
        connection->stream.expires_after(timeout);
        boost::system::error_code ec;
        co_await http::async_write(connection->stream, message, asio::redirect_error(asio::use_awaitable, ec));
        http::response<http::string_body> response;
        if (!ec)
            co_await http::async_read(
                connection->stream, connection->buf, response, asio::redirect_error(asio::use_awaitable, ec));
        if (!ec) {
            const bool keep = response.keep_alive();
            connection->stream.expires_never();
            if (keep)
                state->keepIdle(executor, std::move(connection));
            co_return toResponse(std::move(response));
        }
        if (ec == beast::error::timeout) {
            // Connections can fall silent all at once while new ones work, so the next call must not wait for another.
            state->dropIdle(executor);
            throw Error { ErrorKind::outcomeUnknown, "no response from " + state->address.toString() + " in time",
                "ask for the outcome by the same key" };
        }
        const bool retry = connection->reused && idempotent;
        if (!retry)
            throw Error { ErrorKind::outcomeUnknown,
                "connection to " + state->address.toString() + " ended: " + ec.message(),
                "ask for the outcome by the same key" };
        connection.reset();
    }
}

}
