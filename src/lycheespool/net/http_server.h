#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/net/address.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/net/http_message.h"
#include "lycheespool/net/io_pool.h"

#include <atomic>
#include <functional>
#include <memory>

namespace lycheespool {

/*! @brief Bounds of an HTTP server that protect its memory and connections. */
struct HttpServerLimits {
    /*! @brief Most connections at a time; further ones are closed at once. */
    std::size_t connections { 4096 };
    /*! @brief Longest time to receive one request, which ends slow senders. */
    Duration requestTimeout { std::chrono::seconds { 10 } };
    /*! @brief Longest idle time of a connection between two requests. */
    Duration idleTimeout { std::chrono::seconds { 60 } };
};

/**
 * @brief HTTP/1.1 server on Boost.Beast; connections are spread over the threads of a pool.
 *
 * An Error that the handler throws becomes a problem-details response (RFC 9457).
 */
class HttpServer {
public:
    /*! @brief Answers one request, on the thread of its connection. */
    using Handler = std::function<Awaitable<HttpResponse>(HttpRequest)>;

    /**
     * @brief Binds the address.
     * @param pool Threads to use.
     * @param address Address to listen on; port 0 picks a free one.
     * @param metrics Registry for the counters.
     * @param handler Answers the requests.
     * @param limits Bounds.
     * @throws Error of kind invalidSetting when the address cannot be bound.
     */
    HttpServer(IoPool& pool, const Address& address, Metrics& metrics, Handler handler, HttpServerLimits limits = {});
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /**
     * @brief Returns the bound address.
     * @return Address with the real port.
     */
    [[nodiscard]] Address address() const;

    /*! @brief Starts to accept connections. */
    void start();

    /**
     * @brief Stops accepting, lets requests in flight finish and closes idle connections.
     * @param timeout Longest time to wait for requests in flight.
     * @return True when none was left.
     */
    [[nodiscard]] Awaitable<bool> drain(Duration timeout);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/**
 * @brief Constructs a problem-details response for an error.
 * @param error The error.
 * @return Response with a fitting status and, where a retry helps, `Retry-After`.
 */
[[nodiscard]] HttpResponse toProblem(const class Error& error);

}
