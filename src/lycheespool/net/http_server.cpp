#include "lycheespool/net/http_server.h"

#include "lycheespool/core/error.h"
#include "lycheespool/core/log.h"
#include "lycheespool/net/acceptor.h"
#include "lycheespool/net/sleep.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <mutex>
#include <set>

namespace lycheespool {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::uint32_t maxHeaderBytes = 8 * 1024;
// Bounds of the input that is read and discarded after a refusal.
constexpr std::size_t maxDiscardedBytes = std::size_t { 8 } * 1024 * 1024;
constexpr auto maxDiscardTime = std::chrono::seconds { 2 };

using Parser = http::request_parser<http::string_body>;
using Response = http::response<http::string_body>;

HttpRequest toRequest(http::request<http::string_body>&& message)
{
    HttpRequest request;
    request.method = std::string { message.method_string() };
    parseTarget({ message.target().data(), message.target().size() }, request);
    for (const auto& it : message)
        request.fields.emplace_back(std::string { it.name_string() }, std::string { it.value() });
    request.body = std::move(message.body());
    return request;
}

Response toMessage(HttpResponse&& response, unsigned version, bool keepAlive)
{
    Response message { static_cast<http::status>(response.status), version };
    message.set(http::field::content_type, response.contentType);
    for (const auto& [name, value] : response.fields)
        message.set(name, value);
    message.body() = std::move(response.body);
    message.keep_alive(keepAlive);
    message.prepare_payload();
    return message;
}

unsigned statusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::invalidArgument:
    case ErrorKind::invalidSetting:
    case ErrorKind::malformedFrame:
        return 400;
    case ErrorKind::forbidden:
        return 403;
    case ErrorKind::notFound:
        return 404;
    case ErrorKind::conflict:
        return 409;
    case ErrorKind::overloaded:
        return 429;
    case ErrorKind::unavailable:
    case ErrorKind::stale:
        return 503;
    case ErrorKind::outcomeUnknown:
    case ErrorKind::deadlineExceeded:
        return 504;
    case ErrorKind::internal:
        return 500;
    }
    return 500;
}

bool mayRetry(unsigned status) { return status == 429 || status == 503 || status == 504; }

Error errorOfParser(boost::system::error_code ec)
{
    if (ec == http::error::body_limit)
        return { ErrorKind::invalidArgument, "request body is too large", "send at most 512 KiB" };
    if (ec == http::error::header_limit)
        return { ErrorKind::invalidArgument, "request header is too large", "send at most 8 KiB of header fields" };
    return { ErrorKind::invalidArgument, "request is not valid HTTP/1.1: " + ec.message(), "check the client" };
}

bool isParserError(boost::system::error_code ec)
{
    return ec.category() == make_error_code(http::error::bad_method).category() && ec != http::error::end_of_stream
        && ec != http::error::partial_message;
}

}

HttpResponse toProblem(const Error& error)
{
    HttpResponse response;
    response.status = statusOf(error.kind());
    response.contentType = "application/problem+json";
    const nlohmann::json problem {
        { "type", "about:blank" },
        { "title", std::string { toString(error.kind()) } },
        { "status", response.status },
        { "detail", error.what() },
        { "remedy", error.remedy() },
    };
    response.body = problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (mayRetry(response.status))
        response.fields.emplace_back("Retry-After", "1");
    return response;
}

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(IoPool& ioPool, Metrics& metrics, Handler requestHandler, HttpServerLimits serverLimits)
        : pool { ioPool }
        , acceptor { ioPool.context() }
        , handler { std::move(requestHandler) }
        , limits { serverLimits }
        , accepted { metrics.counter("http_connections_accepted_total") }
        , refused { metrics.counter("http_connections_refused_total") }
        , requests { metrics.counter("http_requests_total") }
        , disconnects { metrics.counter("http_disconnects_total") }
        , malformed { metrics.counter("http_requests_malformed_total") }
    {
    }

    Awaitable<> acceptLoop();
    Awaitable<> serve(std::shared_ptr<beast::tcp_stream> stream);
    Awaitable<bool> serveOne(beast::tcp_stream& stream, beast::flat_buffer& buf);
    Awaitable<HttpResponse> answer(HttpRequest request);
    Awaitable<> discardInput(beast::tcp_stream& stream);
    void closeIdle();

    IoPool& pool;
    tcp::acceptor acceptor;
    Handler handler;
    HttpServerLimits limits;
    Counter& accepted;
    Counter& refused;
    Counter& requests;
    Counter& disconnects;
    Counter& malformed;
    std::atomic<bool> draining { false };
    std::atomic<std::size_t> connections { 0 };
    std::atomic<std::size_t> inFlight { 0 };
    std::mutex streamsMutex;
    std::set<std::shared_ptr<beast::tcp_stream>> streams;
};

Awaitable<> HttpServer::State::acceptLoop()
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        tcp::socket socket { pool.next() };
        boost::system::error_code ec;
        co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec) {
            co_await sleepFor(std::chrono::milliseconds { 10 });
            continue;
        }
        if (connections.load() >= limits.connections) {
            refused.add();
            continue;
        }
        accepted.add();
        ++connections;
        socket.set_option(tcp::no_delay { true }, ec);
        const auto executor = socket.get_executor();
        auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
        asio::co_spawn(
            executor, [self, stream]() -> Awaitable<> { co_await self->serve(stream); }, asio::detached);
    }
}

Awaitable<> HttpServer::State::serve(std::shared_ptr<beast::tcp_stream> stream)
{
    const auto self = shared_from_this();
    {
        const std::scoped_lock lock { streamsMutex };
        streams.insert(stream);
    }
    try {
        beast::flat_buffer buf;
        while (!draining && co_await serveOne(*stream, buf)) { }
    } catch (const boost::system::system_error&) {
        disconnects.add();
    }
    {
        const std::scoped_lock lock { streamsMutex };
        streams.erase(stream);
    }
    boost::system::error_code ec;
    stream->socket().shutdown(tcp::socket::shutdown_send, ec);
    --connections;
}

Awaitable<bool> HttpServer::State::serveOne(beast::tcp_stream& stream, beast::flat_buffer& buf)
{
    Parser parser;
    parser.header_limit(maxHeaderBytes);
    parser.body_limit(maxHttpBodyBytes);
    boost::system::error_code ec;
    if (buf.size() == 0) {
        // Waits for the first byte separately, so that an idle connection is told from a slow sender.
        stream.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(limits.idleTimeout));
        const auto space = buf.prepare(4096);
        const auto n = co_await stream.async_read_some(space, asio::use_awaitable);
        buf.commit(n);
    }
    ++inFlight;
    stream.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(limits.requestTimeout));
    co_await http::async_read(stream, buf, parser, asio::redirect_error(asio::use_awaitable, ec));
    const bool bad = ec && isParserError(ec);
    if (bad)
        malformed.add();
    if (ec && !bad) {
        --inFlight;
        co_return false;
    }
    HttpResponse response;
    bool keepAlive = false;
    unsigned version = 11;
    if (bad) {
        response = toProblem(errorOfParser(ec));
    } else {
        requests.add();
        keepAlive = parser.get().keep_alive();
        version = parser.get().version();
        stream.expires_never();
        try {
            response = co_await answer(toRequest(parser.release()));
        } catch (const Error& error) {
            response = toProblem(error);
        }
    }
    if (response.dropConnection) {
        --inFlight;
        co_return false;
    }
    auto message = toMessage(std::move(response), version, keepAlive && !draining);
    stream.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(limits.requestTimeout));
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, ec));
    if (bad && !ec)
        co_await discardInput(stream);
    --inFlight;
    co_return !ec && message.keep_alive();
}

Awaitable<HttpResponse> HttpServer::State::answer(HttpRequest request)
{
    HttpResponse response;
    try {
        response = co_await handler(std::move(request));
    } catch (const Error& error) {
        response = toProblem(error);
    } catch (const std::exception& error) {
        log(LogLevel::error, "request handler failed: {}", error.what());
        response = toProblem({ ErrorKind::internal, error.what(), "report this with the log of the process" });
    }
    co_return response;
}

/*! @brief Reads what a refused client still sends; closing at once would reset the connection and lose the response. */
Awaitable<> HttpServer::State::discardInput(beast::tcp_stream& stream)
{
    boost::system::error_code ec;
    stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    stream.expires_after(maxDiscardTime);
    std::array<char, 4096> buf {};
    std::size_t discarded = 0;
    while (!ec && discarded < maxDiscardedBytes) {
        const auto space = asio::buffer(buf);
        discarded += co_await stream.async_read_some(space, asio::redirect_error(asio::use_awaitable, ec));
    }
}

void HttpServer::State::closeIdle()
{
    const std::scoped_lock lock { streamsMutex };
    for (const auto& stream : streams)
        asio::post(stream->get_executor(), [stream] { stream->cancel(); });
}

HttpServer::HttpServer(IoPool& pool, const Address& address, Metrics& metrics, Handler handler, HttpServerLimits limits)
    : m_state { std::make_shared<State>(pool, metrics, std::move(handler), limits) }
{
    listenOn(m_state->acceptor, address);
}

HttpServer::~HttpServer() = default;

Address HttpServer::address() const { return boundAddress(m_state->acceptor); }

void HttpServer::start()
{
    asio::co_spawn(
        m_state->acceptor.get_executor(), [state = m_state]() -> Awaitable<> { co_await state->acceptLoop(); },
        asio::detached);
}

Awaitable<bool> HttpServer::drain(Duration timeout)
{
    const auto state = m_state;
    state->draining = true;
    asio::post(state->acceptor.get_executor(), [state] {
        boost::system::error_code ec;
        state->acceptor.close(ec);
    });
    const auto deadline = SteadyClock {}.now() + timeout;
    while (state->inFlight.load() > 0 && SteadyClock {}.now() < deadline)
        co_await sleepFor(std::chrono::milliseconds { 5 });
    const bool clean = state->inFlight.load() == 0;
    state->closeIdle();
    co_return clean;
}

}
