#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/net/address.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/net/http_message.h"

#include <memory>
#include <optional>

namespace lycheespool {

/**
 * @brief One connection of an HTTP/1.1 client. It never reconnects, so all its responses come from the process that
 * accepted it.
 */
class HttpConnection {
public:
    /**
     * @brief Connects to a server.
     * @param address Address of the server.
     * @param timeout Longest time to wait.
     * @param ec Receives the error; must outlive the operation.
     * @return The connection, or nothing if there is none.
     */
    [[nodiscard]] static Awaitable<std::unique_ptr<HttpConnection>> open(
        Address address, Duration timeout, boost::system::error_code& ec);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    /**
     * @brief Sends a request and waits for the whole response; one call at a time.
     * @param request The request; `path` is the full target.
     * @param timeout Longest time for sending and receiving.
     * @param ec Receives the error; must outlive the operation. After an error the server may have received the
     * request.
     * @return The response, or nothing after an error.
     */
    [[nodiscard]] Awaitable<std::optional<HttpResponse>> send(
        const HttpRequest& request, Duration timeout, boost::system::error_code& ec);

    /*! @brief Returns false after a failed call, and after a response with which the server ends the connection. */
    [[nodiscard]] bool isOpen() const;

    /**
     * @brief Checks if a call failed because its timeout expired.
     * @param ec Error of the call.
     * @return True if the connection did not end by itself.
     */
    [[nodiscard]] static bool isTimeout(const boost::system::error_code& ec);

private:
    struct State;
    explicit HttpConnection(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

}
