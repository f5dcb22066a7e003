#pragma once

#include "lycheespool/agent/endpoint.h"
#include "lycheespool/core/error.h"
#include "lycheespool/core/log.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/net/address.h"
#include "lycheespool/net/connect.h"
#include "lycheespool/net/sleep.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Interval between heartbeats of an agent. */
inline constexpr Duration heartbeatInterval = std::chrono::milliseconds { 500 };
/*! @brief Timeout for the reply to a heartbeat; the connection is closed when it expires. */
inline constexpr Duration heartbeatTimeout = std::chrono::seconds { 3 };
/*! @brief Delay between attempts to connect to an entry. */
inline constexpr Duration reconnectInterval = std::chrono::milliseconds { 500 };

/**
 * @brief Keeps an agent connected to one entry: announces the endpoint, sends heartbeats and dispatches messages.
 * @tparam EndpointType Model of Endpoint.
 */
template <Endpoint EndpointType>
class EntryLink : public std::enable_shared_from_this<EntryLink<EndpointType>> {
public:
    /*! @brief Called with the addresses of all entries that an entry knows. */
    using EntriesHandler = std::function<void(const std::vector<std::string>&)>;

    /**
     * @brief Creates a link.
     * @param endpoint The endpoint; must outlive the link.
     * @param address RPC address of the entry.
     * @param metrics Metrics registry.
     * @param entriesHandler Receives the addresses of entries.
     * @param interval Interval between heartbeats.
     */
    EntryLink(EndpointType& endpoint, Address address, Metrics& metrics, EntriesHandler entriesHandler,
        Duration interval = heartbeatInterval)
        : m_endpoint { endpoint }
        , m_address { std::move(address) }
        , m_metrics { metrics }
        , m_entriesHandler { std::move(entriesHandler) }
        , m_interval { interval }
    {
    }

    /**
     * @brief Connects, and reconnects until stop() is called or the entry has been unreachable for too long.
     * @param contactTimeout Time without contact after which the link ends; the replacement of an entry has another
     * address.
     */
    [[nodiscard]] Awaitable<> run(Duration contactTimeout)
    {
        const auto self = this->shared_from_this();
        auto lastContact = SteadyClock {}.now();
        while (!m_stopped && SteadyClock {}.now() - lastContact < contactTimeout) {
            if (co_await connectAndServe())
                lastContact = SteadyClock {}.now();
            co_await sleepFor(reconnectInterval);
        }
    }

    /*! @brief Stops the link and closes its connection. */
    void stop()
    {
        m_stopped = true;
        if (m_connection)
            m_connection->close();
    }

    /**
     * @brief Notifies the entry that the endpoint departs.
     * @param incarnation Incarnation of the endpoint.
     */
    [[nodiscard]] Awaitable<> sendGoodbye(Incarnation incarnation)
    {
        const auto connection = m_connection;
        if (!connection)
            co_return;
        Goodbye goodbye;
        goodbye.incarnation = incarnation;
        try {
            (void)co_await connection->template call<GoodbyeReply>(goodbye, heartbeatTimeout);
        } catch (const Error& error) {
            log(LogLevel::warning, "entry {} did not acknowledge the departure: {}", m_address.toString(),
                error.what());
        }
    }

    /**
     * @brief Sends a heartbeat immediately and passes its reply to the endpoint.
     * @return False if there was no reply.
     */
    [[nodiscard]] Awaitable<bool> exchangeHeartbeat()
    {
        const auto connection = m_connection;
        if (!connection)
            co_return false;
        const auto sent = SteadyClock {}.now();
        auto heartbeat = m_endpoint.heartbeat();
        heartbeat.entriesDigest = m_entriesDigest;
        try {
            const auto reply
                = co_await connection->template call<HeartbeatReply>(std::move(heartbeat), heartbeatTimeout);
            m_endpoint.received(reply, sent);
            if (!reply.entries.empty()) {
                m_entriesHandler(reply.entries);
                m_entriesDigest = reply.entriesDigest;
            }
            co_return true;
        } catch (const Error&) {
            connection->close();
            co_return false;
        }
    }

private:
    [[nodiscard]] static HeartbeatReply asHeartbeatReply(const HelloReply& hello)
    {
        HeartbeatReply reply;
        reply.epoch = hello.epoch;
        reply.freshness = hello.freshness;
        reply.renewsLeases = hello.renewsLeases;
        return reply;
    }

    [[nodiscard]] Awaitable<bool> connectAndServe()
    {
        const auto executor = co_await asio::this_coro::executor;
        auto socket = co_await connectTo(m_address, heartbeatTimeout);
        if (!socket)
            co_return false;
        m_connection = std::make_shared<RpcConnection>(std::move(*socket), m_metrics);
        const auto heartbeatTimer = std::make_shared<asio::steady_timer>(executor);
        asio::co_spawn(executor, readLoop(m_connection, heartbeatTimer), asio::detached);
        const bool isAnnounced = co_await sendHello();
        while (isAnnounced && !m_stopped && m_connection->isOpen() && co_await exchangeHeartbeat())
            co_await awaitNextHeartbeat(heartbeatTimer);
        m_connection->close();
        m_connection.reset();
        if (isAnnounced)
            log(LogLevel::info, "connection to entry {} closed", m_address.toString());
        co_return isAnnounced;
    }

    /*! @brief Waits for the interval or until the connection ends, whichever comes first. */
    [[nodiscard]] Awaitable<> awaitNextHeartbeat(std::shared_ptr<asio::steady_timer> heartbeatTimer)
    {
        // A connection that has already ended does not cancel the wait below.
        if (!m_connection->isOpen())
            co_return;
        heartbeatTimer->expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(m_interval));
        boost::system::error_code ec;
        co_await heartbeatTimer->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    [[nodiscard]] Awaitable<> readLoop(
        std::shared_ptr<RpcConnection> connection, std::shared_ptr<asio::steady_timer> heartbeatTimer)
    {
        const auto self = this->shared_from_this();
        // A named variable, because g++ 12 destroys a temporary handler twice when the suspended coroutine is
        // destroyed.
        RpcConnection::Handler handler
            = [self](const auto& source, Envelope envelope) { self->m_endpoint.handle(source, std::move(envelope)); };
        co_await connection->run(std::move(handler));
        heartbeatTimer->cancel();
    }

    [[nodiscard]] Awaitable<bool> sendHello()
    {
        auto hello = m_endpoint.hello();
        const auto connection = m_connection;
        const auto sent = SteadyClock {}.now();
        try {
            const auto reply = co_await connection->template call<HelloReply>(std::move(hello), heartbeatTimeout);
            m_endpoint.received(asHeartbeatReply(reply), sent);
            log(LogLevel::info, "connected to entry {} at {}", reply.entry.value(), m_address.toString());
            m_entriesHandler(reply.entries);
            co_return true;
        } catch (const Error& error) {
            log(LogLevel::warning, "entry {} refused the announcement: {}", m_address.toString(), error.what());
            co_return false;
        }
    }

    EndpointType& m_endpoint;
    Address m_address;
    Metrics& m_metrics;
    EntriesHandler m_entriesHandler;
    Duration m_interval;
    std::shared_ptr<RpcConnection> m_connection;
    std::uint64_t m_entriesDigest { 0 };
    bool m_stopped { false };
};

}
