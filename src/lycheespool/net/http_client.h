#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/net/address.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/net/http_message.h"

#include <memory>
#include <string>

namespace lycheespool {

/**
 * @brief HTTP/1.1 client for one server that keeps idle connections and reuses them.
 *
 * May be used from any thread: idle connections are kept apart for each of them.
 */
class HttpClient {
public:
    /**
     * @brief Constructs a client; connects on first use.
     * @param address Address of the server.
     */
    explicit HttpClient(Address address);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /**
     * @brief Sends a request and waits for the whole response.
     *
     * A request is sent again over a new connection only when the server closed the idle connection before it received
     * a byte of the response and the method is idempotent.
     *
     * @param request The request; `path` is the full target.
     * @param timeout Longest time for connecting, sending and receiving.
     * @return The response.
     * @throws Error of kind unavailable when no connection was made, so the server did not get the request;
     * outcomeUnknown when the connection or the timeout ended after the request was sent.
     */
    [[nodiscard]] Awaitable<HttpResponse> send(HttpRequest request, Duration timeout);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
