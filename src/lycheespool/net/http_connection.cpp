#include "lycheespool/net/http_connection.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace lycheespool {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

http::request<http::string_body> toMessage(const HttpRequest& request, const std::string& host)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.path);
    message.set(http::field::host, host);
    for (const auto& [name, value] : request.fields)
        message.set(name, value);
    message.body() = request.body;
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

}

struct HttpConnection::State {
    State(const asio::any_io_executor& executor, const Address& server)
        : stream { executor }
        , host { server.toString() }
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buf;
    std::string host;
    bool isOpen { true };
};

HttpConnection::HttpConnection(std::unique_ptr<State> state)
    : m_state { std::move(state) }
{
}

HttpConnection::~HttpConnection() = default;

Awaitable<std::unique_ptr<HttpConnection>> HttpConnection::open(
    Address address, Duration timeout, boost::system::error_code& ec)
{
    const auto executor = co_await asio::this_coro::executor;
    auto state = std::make_unique<State>(executor, address);
    state->stream.expires_after(timeout);
    const auto endpoint = address.endpoint();
    co_await state->stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
        co_return nullptr;
    boost::system::error_code ignored;
    state->stream.socket().set_option(asio::ip::tcp::no_delay { true }, ignored);
    co_return std::unique_ptr<HttpConnection> { new HttpConnection { std::move(state) } };
}

Awaitable<std::optional<HttpResponse>> HttpConnection::send(
    const HttpRequest& request, Duration timeout, boost::system::error_code& ec)
{
    const auto message = toMessage(request, m_state->host);
    m_state->stream.expires_after(timeout);
    co_await http::async_write(m_state->stream, message, asio::redirect_error(asio::use_awaitable, ec));
    http::response<http::string_body> response;
    if (!ec)
        co_await http::async_read(
            m_state->stream, m_state->buf, response, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        m_state->isOpen = false;
        co_return std::nullopt;
    }
    m_state->isOpen = response.keep_alive();
    m_state->stream.expires_never();
    co_return toResponse(std::move(response));
}

bool HttpConnection::isOpen() const { return m_state->isOpen; }

bool HttpConnection::isTimeout(const boost::system::error_code& ec) { return ec == beast::error::timeout; }

}
