#include "lycheespool/net/rpc_connection.h"

#include "lycheespool/core/error.h"
#include "lycheespool/core/log.h"

#include <algorithm>

namespace lycheespool {

namespace {

// Small, because an entry holds one buffer for each of thousands of agents; grows when a frame needs it. With 16 KiB
// the buffers of the 3,400 agents of a scheduling domain exceed the entry's memory limit of 64 MB on their own.
constexpr std::size_t readBufferBytes = std::size_t { 4 } * 1024;

}

/*! @brief A call that waits for its reply on the caller's executor. */
struct RpcConnection::PendingCall {
    explicit PendingCall(const asio::any_io_executor& callerExecutor)
        : executor { callerExecutor }
        , timer { callerExecutor }
    {
    }

    asio::any_io_executor executor;
    asio::steady_timer timer;
    std::optional<Envelope> reply;
    bool disconnected { false };
};

RpcConnection::RpcConnection(asio::ip::tcp::socket socket, Metrics& metrics)
    : m_socket { std::move(socket) }
    , m_framesReceived { metrics.counter("rpc_frames_received_total") }
    , m_framesSent { metrics.counter("rpc_frames_sent_total") }
    , m_bytesReceived { metrics.counter("rpc_bytes_received_total") }
    , m_bytesSent { metrics.counter("rpc_bytes_sent_total") }
    , m_malformed { metrics.counter("rpc_frames_malformed_total") }
    , m_disconnects { metrics.counter("rpc_disconnects_total") }
    , m_unmatched { metrics.counter("rpc_replies_unmatched_total") }
{
    boost::system::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay { true }, ec);
}

Awaitable<> RpcConnection::run(Handler handler)
{
    const auto self = shared_from_this();
    try {
        co_await readFrames(handler);
    } catch (const Error& error) {
        m_malformed.add();
        log(LogLevel::warning, "rpc connection closed: {}", error.what());
    } catch (const boost::system::system_error&) {
        m_disconnects.add();
    }
    finish();
}

Awaitable<> RpcConnection::readFrames(const Handler& handler)
{
    std::string buf(readBufferBytes, '\0');
    std::size_t filled = 0;
    while (true) {
        auto space = asio::buffer(buf.data() + filled, buf.size() - filled);
        const auto n = co_await m_socket.async_read_some(space, asio::use_awaitable);
        m_bytesReceived.add(n);
        filled += n;
        std::size_t used = 0;
        std::size_t needed = frameHeaderBytes;
        while (filled - used >= frameHeaderBytes) {
            const auto rest = std::string_view { buf }.substr(used, filled - used);
            needed = frameHeaderBytes + decodeFrameSize(rest);
            if (rest.size() < needed)
                break;
            dispatch(rest.substr(frameHeaderBytes, needed - frameHeaderBytes), handler);
            used += needed;
        }
        std::copy(buf.data() + used, buf.data() + filled, buf.data());
        filled -= used;
        if (buf.size() < needed)
            buf.resize(needed);
    }
}

void RpcConnection::dispatch(std::string_view bytes, const Handler& handler)
{
    m_framesReceived.add();
    auto envelope = decodeFrame(bytes);
    if (isReply(envelope.type))
        resolve(std::move(envelope));
    else
        handler(shared_from_this(), std::move(envelope));
}

void RpcConnection::resolve(Envelope envelope)
{
    const auto it = m_pending.find(envelope.correlation);
    if (it == m_pending.end()) {
        m_unmatched.add();
        return;
    }
    auto call = std::move(it->second);
    m_pending.erase(it);
    const auto executor = call->executor;
    asio::post(executor, [call = std::move(call), envelope = std::move(envelope)]() mutable {
        call->reply = std::move(envelope);
        call->timer.cancel();
    });
}

void RpcConnection::enqueue(Frame frame)
{
    if (!isOpen())
        return;
    if (m_outbox.push(std::move(frame)))
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->startWriting(); });
}

void RpcConnection::startWriting()
{
    if (m_writing || !isOpen())
        return;
    m_writing = true;
    asio::co_spawn(
        m_socket.get_executor(), [self = shared_from_this()]() -> Awaitable<> { co_await self->writeFrames(); },
        asio::detached);
}

Awaitable<> RpcConnection::writeFrames()
{
    std::vector<Frame> frames;
    std::string buf;
    while (isOpen()) {
        frames.clear();
        m_outbox.drain(frames);
        if (frames.empty())
            break;
        buf.clear();
        for (const auto& it : frames)
            buf += it.bytes;
        m_framesSent.add(frames.size());
        m_bytesSent.add(buf.size());
        boost::system::error_code ec;
        co_await asio::async_write(m_socket, asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            finish();
    }
    m_writing = false;
}

Awaitable<Envelope> RpcConnection::exchange(Frame frame, std::uint64_t correlation, Duration timeout)
{
    const auto self = shared_from_this();
    const auto call = std::make_shared<PendingCall>(co_await asio::this_coro::executor);
    call->timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(timeout));
    // The call is registered on the connection's thread before its frame is sent, so a fast reply always finds it.
    asio::post(m_socket.get_executor(), [self, call, correlation, outgoing = std::move(frame)]() mutable {
        if (!self->isOpen()) {
            asio::post(call->executor, [call] {
                call->disconnected = true;
                call->timer.cancel();
            });
            return;
        }
        self->m_pending.emplace(correlation, call);
        if (self->m_outbox.push(std::move(outgoing)))
            self->startWriting();
    });
    while (!call->reply && !call->disconnected) {
        boost::system::error_code ec;
        co_await call->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        if (!ec)
            break;
    }
    if (call->reply)
        co_return std::move(*call->reply);
    if (call->disconnected)
        throw Error { ErrorKind::unavailable, "connection ended before the reply", "retry with the same key" };
    asio::post(m_socket.get_executor(), [self, correlation] { self->m_pending.erase(correlation); });
    throw Error { ErrorKind::deadlineExceeded, "no reply within the timeout", "retry with the same key" };
}

void RpcConnection::close()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->finish(); });
}

void RpcConnection::finish()
{
    if (!m_open.exchange(false))
        return;
    boost::system::error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
    m_socket.close(ec);
    for (auto& [correlation, call] : std::exchange(m_pending, {})) {
        asio::post(call->executor, [pending = call] {
            pending->disconnected = true;
            pending->timer.cancel();
        });
    }
}

}
