#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/net/outbox.h"
#include "lycheespool/wire/frame.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lycheespool {

/**
 * @brief One framed TCP connection on which both sides make calls.
 *
 * The connection lives on the thread of its socket. send() and call() may be used from any thread. A reply is matched
 * to its call by correlation; an unknown correlation is counted and dropped.
 */
class RpcConnection : public std::enable_shared_from_this<RpcConnection> {
public:
    /*! @brief Called on the connection's thread for each message that is not a reply. */
    using Handler = std::function<void(const std::shared_ptr<RpcConnection>&, Envelope)>;

    /**
     * @brief Takes over a connected socket.
     * @param socket The socket.
     * @param metrics Registry for frame and byte counters.
     */
    RpcConnection(asio::ip::tcp::socket socket, Metrics& metrics);

    /**
     * @brief Reads frames until the connection ends.
     * @param handler Receives the messages.
     */
    [[nodiscard]] Awaitable<> run(Handler handler);

    /**
     * @brief Queues a message.
     * @tparam Message One of the message types.
     * @param message The message.
     * @param correlation Correlation of the call that a reply answers, 0 for a message without reply.
     */
    template <typename Message>
    void send(const Message& message, std::uint64_t correlation = 0)
    {
        enqueue(encodeFrame(message, correlation));
    }

    /**
     * @brief Constructs a call and waits for its reply.
     * @tparam Reply Type of the reply.
     * @tparam Request Type of the request.
     * @param request The request.
     * @param timeout Longest time to wait.
     * @return The reply.
     * @throws Error of kind unavailable when the connection ended, deadlineExceeded after the timeout; in both cases
     * the peer may have acted on the request.
     */
    template <typename Reply, typename Request>
    [[nodiscard]] Awaitable<Reply> call(Request request, Duration timeout)
    {
        const auto correlation = m_nextCorrelation.fetch_add(1, std::memory_order_relaxed);
        auto frame = encodeFrame(request, correlation);
        auto envelope = co_await exchange(std::move(frame), correlation, timeout);
        co_return envelope.template as<Reply>();
    }

    /*! @brief Ends the connection; calls that wait fail as unavailable. */
    void close();

    /**
     * @brief Checks if the connection still accepts messages.
     * @return False once it has ended.
     */
    [[nodiscard]] bool isOpen() const { return m_open.load(std::memory_order_acquire); }

    /**
     * @brief Returns the executor of the connection's thread.
     * @return The executor.
     */
    [[nodiscard]] asio::any_io_executor executor() { return m_socket.get_executor(); }

private:
    struct PendingCall;

    [[nodiscard]] Awaitable<Envelope> exchange(Frame frame, std::uint64_t correlation, Duration timeout);
    [[nodiscard]] Awaitable<> readFrames(const Handler& handler);
    [[nodiscard]] Awaitable<> writeFrames();
    void dispatch(std::string_view bytes, const Handler& handler);
    void enqueue(Frame frame);
    void startWriting();
    void resolve(Envelope envelope);
    void finish();

    asio::ip::tcp::socket m_socket;
    std::atomic<bool> m_open { true };
    std::atomic<std::uint64_t> m_nextCorrelation { 1 };
    Outbox<Frame> m_outbox;
    bool m_writing { false };
    std::unordered_map<std::uint64_t, std::shared_ptr<PendingCall>> m_pending;
    Counter& m_framesReceived;
    Counter& m_framesSent;
    Counter& m_bytesReceived;
    Counter& m_bytesSent;
    Counter& m_malformed;
    Counter& m_disconnects;
    Counter& m_unmatched;
};

}
