#pragma once

// Blocking HTTP/1.1 server and client for the stand-ins: one thread for each connection, loopback only.

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

struct Reply {
    unsigned status { 200 };
    std::string body { "{}" };
    /*! @brief Close the connection without an answer. */
    bool drop { false };
};

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
    std::function<std::string(std::string_view)> header;
};

inline std::string percentDecode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(std::string { text.substr(i + 1, 2) }, nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

inline void parseTarget(std::string target, Request& request)
{
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark == std::string::npos)
        return;
    std::string_view rest { target };
    rest.remove_prefix(mark + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos)
            request.query[std::string { pair.substr(0, equals) }] = percentDecode(pair.substr(equals + 1));
    }
}

/*! @brief HTTP server; open() and close() may alternate, close() resets all connections. */
class Server {
public:
    using Handler = std::function<Reply(const Request&)>;

    Server(std::string ip, std::uint16_t port, Handler handler)
        : m_ip { std::move(ip) }
        , m_port { port }
        , m_handler { std::move(handler) }
    {
    }

    void open()
    {
        auto acceptor = std::make_shared<tcp::acceptor>(m_io);
        const tcp::endpoint endpoint { asio::ip::make_address(m_ip), m_port };
        acceptor->open(endpoint.protocol());
        acceptor->set_option(tcp::acceptor::reuse_address(true));
        acceptor->bind(endpoint);
        acceptor->listen(1024);
        m_acceptor = acceptor;
        std::thread { [this, acceptor] { accept(acceptor); } }.detach();
    }

    void close()
    {
        boost::system::error_code ec;
        if (auto acceptor = std::exchange(m_acceptor, nullptr)) {
            ::shutdown(acceptor->native_handle(), SHUT_RDWR);
            acceptor->close(ec);
        }
        const std::scoped_lock lock { m_mutex };
        for (const auto& it : m_sockets)
            ::shutdown(it->native_handle(), SHUT_RDWR);
    }

private:
    void accept(std::shared_ptr<tcp::acceptor> acceptor)
    {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(m_io);
            boost::system::error_code ec;
            acceptor->accept(*socket, ec);
            if (ec)
                return;
            socket->set_option(tcp::no_delay { true }, ec);
            {
                const std::scoped_lock lock { m_mutex };
                m_sockets.insert(socket);
            }
            std::thread { [this, socket] { serve(socket); } }.detach();
        }
    }

    void serve(const std::shared_ptr<tcp::socket>& socket)
    {
        beast::flat_buffer buf;
        boost::system::error_code ec;
        while (!ec) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(16 * 1024 * 1024);
            http::read(*socket, buf, parser, ec);
            if (ec)
                break;
            const auto message = parser.release();
            Request request;
            request.method = std::string { message.method_string() };
            parseTarget(std::string { message.target() }, request);
            request.body = message.body();
            request.header = [&message](std::string_view name) {
                return std::string { message[beast::string_view { name.data(), name.size() }] };
            };
            Reply reply;
            try {
                reply = m_handler(request);
            } catch (const std::exception&) {
                reply = { 400, "{}", false };
            }
            if (reply.drop)
                break;
            http::response<http::string_body> response { static_cast<http::status>(reply.status), 11 };
            response.set(http::field::content_type, "application/json");
            response.keep_alive(message.keep_alive());
            response.body() = std::move(reply.body);
            response.prepare_payload();
            http::write(*socket, response, ec);
            if (!response.keep_alive())
                break;
        }
        const std::scoped_lock lock { m_mutex };
        m_sockets.erase(socket);
        ::shutdown(socket->native_handle(), SHUT_RDWR);
    }

    std::string m_ip;
    std::uint16_t m_port;
    Handler m_handler;
    asio::io_context m_io;
    std::shared_ptr<tcp::acceptor> m_acceptor;
    std::mutex m_mutex;
    std::set<std::shared_ptr<tcp::socket>> m_sockets;
};

/*! @brief One call over a new connection; nothing when there is no complete answer in time. */
inline std::optional<std::pair<unsigned, std::string>> call(const std::string& ip, std::uint16_t port,
    const std::string& method, const std::string& target, const std::string& body,
    const std::map<std::string, std::string>& headers, std::chrono::milliseconds timeout)
{
    asio::io_context io;
    beast::tcp_stream stream { io };
    beast::flat_buffer buf;
    http::request<http::string_body> message;
    http::response<http::string_body> response;
    message.method_string(method);
    message.target(target);
    message.version(11);
    message.set(http::field::host, ip);
    message.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : headers)
        message.set(name, value);
    message.keep_alive(false);
    message.body() = body;
    message.prepare_payload();
    bool complete = false;
    stream.expires_after(timeout);
    stream.async_connect(tcp::endpoint { asio::ip::make_address(ip), port }, [&](boost::system::error_code ec) {
        if (ec)
            return;
        http::async_write(stream, message, [&](boost::system::error_code error, std::size_t) {
            if (error)
                return;
            http::async_read(stream, buf, response,
                [&](boost::system::error_code failure, std::size_t) { complete = !failure; });
        });
    });
    io.run();
    if (!complete)
        return std::nullopt;
    return std::pair { response.result_int(), response.body() };
}

}
