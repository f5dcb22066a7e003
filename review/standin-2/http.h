// A small HTTP/1.1 server and client for the stand-ins of the review: blocking sockets, one thread a connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>

namespace standin {

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /*! @brief Header fields by name in lower case. */
    std::map<std::string, std::string> fields;
    std::string body;
};

struct Response {
    int status { 200 };
    std::string body { "{}" };
    /*! @brief Closes the connection instead of answering. */
    bool drop { false };
};

using Handler = std::function<Response(const Request&)>;

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds { ms }); }

inline sockaddr_in parseEndpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string& endpoint)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = parseEndpoint(endpoint);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd, 128) != 0) {
        std::perror(("cannot listen on " + endpoint).c_str());
        std::exit(2);
    }
    return fd;
}

/*! @brief Connects within a time; -1 if that fails. */
inline int connectTo(const std::string& endpoint, int timeoutMs)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto address = parseEndpoint(endpoint);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        pollfd waiting { fd, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof error;
        if (poll(&waiting, 1, timeoutMs) != 1 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0
            || error != 0) {
            close(fd);
            return -1;
        }
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool sendAll(int fd, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto n = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n < 0 && errno == EAGAIN) {
            pollfd waiting { fd, POLLOUT, 0 };
            if (poll(&waiting, 1, 5000) != 1)
                return false;
            continue;
        }
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/*! @brief Reads more bytes; false at the end of the stream, on an error or after the time. */
inline bool readMore(int fd, std::string& buf, int timeoutMs)
{
    pollfd waiting { fd, POLLIN, 0 };
    if (poll(&waiting, 1, timeoutMs) != 1)
        return false;
    char bytes[65536];
    const auto n = recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0)
        return false;
    buf.append(bytes, static_cast<std::size_t>(n));
    return true;
}

inline std::string unescape(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

/*! @brief Reads the head and the body of a message; the first line goes to `line`. */
inline bool readMessage(int fd, std::string& buf, std::string& line, Request& message, int timeoutMs)
{
    std::size_t end = 0;
    while ((end = buf.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore(fd, buf, timeoutMs))
            return false;
    }
    const auto head = buf.substr(0, end);
    buf.erase(0, end + 4);
    line = head.substr(0, head.find("\r\n"));
    std::size_t at = head.find("\r\n");
    while (at != std::string::npos) {
        const auto next = head.find("\r\n", at + 2);
        const auto field = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
        const auto colon = field.find(':');
        if (colon != std::string::npos) {
            auto name = field.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            message.fields[name] = field.substr(std::min(field.size(), field.find_first_not_of(' ', colon + 1)));
        }
        at = next;
    }
    const auto length = message.fields.find("content-length");
    const std::size_t size = length == message.fields.end() ? 0 : std::stoul(length->second);
    while (buf.size() < size) {
        if (!readMore(fd, buf, timeoutMs))
            return false;
    }
    message.body = buf.substr(0, size);
    buf.erase(0, size);
    return true;
}

inline void parseTarget(const std::string& target, Request& request)
{
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    auto rest = mark == std::string::npos ? std::string {} : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        request.query[pair.substr(0, equals)]
            = equals == std::string::npos ? std::string {} : unescape(pair.substr(equals + 1));
        rest = end == std::string::npos ? std::string {} : rest.substr(end + 1);
    }
}

inline void serveConnection(int fd, const Handler& handler)
{
    std::string buf;
    std::string line;
    while (true) {
        Request request;
        if (!readMessage(fd, buf, line, request, 300000))
            break;
        request.method = line.substr(0, line.find(' '));
        const auto from = line.find(' ') + 1;
        parseTarget(line.substr(from, line.find(' ', from) - from), request);
        const auto response = handler(request);
        if (response.drop)
            break;
        if (!sendAll(fd,
                "HTTP/1.1 " + std::to_string(response.status)
                    + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size())
                    + "\r\n\r\n" + response.body))
            break;
    }
    close(fd);
}

/*! @brief Serves forever. */
inline void serve(const std::string& endpoint, Handler handler)
{
    const int listener = listenOn(endpoint);
    while (true) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread { [fd, handler] { serveConnection(fd, handler); } }.detach();
    }
}

/*! @brief Makes one call on a new connection; nothing without an answer. */
inline std::optional<Response> call(const std::string& endpoint, const std::string& method, const std::string& path,
    const std::string& headers, const std::string& body, int timeoutMs)
{
    const int fd = connectTo(endpoint, timeoutMs);
    if (fd < 0)
        return std::nullopt;
    std::string buf;
    std::string line;
    Request message;
    const bool isAnswered = sendAll(fd,
                                method + " " + path + " HTTP/1.1\r\n" + headers
                                    + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)
        && readMessage(fd, buf, line, message, timeoutMs);
    close(fd);
    if (!isAnswered)
        return std::nullopt;
    return Response { std::stoi(line.substr(line.find(' ') + 1)), message.body, false };
}

}
