#include "lycheespool/net/http_server.h"

#include <doctest/doctest.h>

#include <array>

using namespace lycheespool;

namespace {

Awaitable<HttpResponse> echo(HttpRequest request)
{
    HttpResponse response;
    response.body = std::move(request.body);
    co_return response;
}

asio::ip::tcp::socket connect(asio::io_context& context, const Address& address)
{
    asio::ip::tcp::socket socket { context };
    socket.connect(address.endpoint());
    return socket;
}

/*! @brief Reads until the server ends the connection. */
std::string readAll(asio::ip::tcp::socket& socket)
{
    std::string text;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(text), ec);
    return text;
}

}

// Guards against a client that holds a connection indefinitely by sending its request byte by byte or in part.
TEST_CASE("a request that is not complete in time ends its connection")
{
    Metrics metrics;
    IoPool pool { 1 };
    HttpServerLimits limits;
    limits.requestTimeout = std::chrono::milliseconds { 100 };
    HttpServer server { pool, { "127.0.0.1", 0 }, metrics, echo, limits };
    server.start();
    asio::io_context context;
    auto slow = connect(context, server.address());
    asio::write(slow, asio::buffer(std::string { "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n123" }));
    CHECK(readAll(slow).empty());
    auto good = connect(context, server.address());
    asio::write(
        good, asio::buffer(std::string { "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi" }));
    CHECK(readAll(good).ends_with("hi"));
    pool.stop();
}

// Guards against memory that grows with the number of connections that strangers open.
TEST_CASE("connections beyond the limit are closed at once")
{
    Metrics metrics;
    IoPool pool { 1 };
    HttpServerLimits limits;
    limits.connections = 1;
    HttpServer server { pool, { "127.0.0.1", 0 }, metrics, echo, limits };
    server.start();
    asio::io_context context;
    auto first = connect(context, server.address());
    asio::write(first, asio::buffer(std::string { "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi" }));
    std::array<char, 16> buf {};
    CHECK(asio::read(first, asio::buffer(buf)) == buf.size());
    auto second = connect(context, server.address());
    CHECK(readAll(second).empty());
    CHECK(metrics.counter("http_connections_refused_total").value() == 1);
    pool.stop();
}

// Guards against a request that is neither answered nor refused when it is no HTTP or its header is too large.
TEST_CASE("a malformed or oversized header is refused with a remedy")
{
    Metrics metrics;
    IoPool pool { 1 };
    HttpServer server { pool, { "127.0.0.1", 0 }, metrics, echo };
    server.start();
    asio::io_context context;
    const std::string large = "GET / HTTP/1.1\r\nX: " + std::string(10000, 'x') + "\r\n\r\n";
    for (const auto& text : { std::string { "no http at all\r\n\r\n" }, large }) {
        auto socket = connect(context, server.address());
        asio::write(socket, asio::buffer(text));
        socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        const auto answer = readAll(socket);
        CHECK(answer.starts_with("HTTP/1.1 400"));
        CHECK(answer.find("remedy") != std::string::npos);
    }
    pool.stop();
}
