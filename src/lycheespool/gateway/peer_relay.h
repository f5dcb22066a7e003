#pragma once

#include "lycheespool/core/boot_clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/core/event_log.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/net/address.h"
#include "lycheespool/net/connect.h"
#include "lycheespool/net/rpc_connection.h"
#include "lycheespool/wire/node_messages.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Outcome of a forwarded call. */
struct RelayResult {
    /*! @brief Reply of another entry, if any. */
    std::optional<ClientCallReply> reply;
    /*! @brief An entry was sent the call and did not answer, so the call may still take effect. */
    bool mayTakeEffect { false };
};

/**
 * @brief Forwards clients' calls to other entries while the store does not serve this one, or its config is not in
 * force.
 *
 * Designed for the case that the store refuses some entries: the others serve their clients, which need not retry. Must
 * be used from one thread.
 */
class PeerRelay {
public:
    /*! @brief Timeout for connecting to another entry. */
    static constexpr Duration connectTimeout = std::chrono::milliseconds { 250 };
    /*! @brief Time for which an entry that failed to serve a call is skipped. */
    static constexpr Duration peerCooldown = std::chrono::seconds { 2 };

    /**
     * @brief Constructs a relay.
     * @param executor Asio executor of the thread.
     * @param self Address of this process, which is skipped.
     * @param peers Addresses of other entries; may be stale.
     * @param metrics Registry for counters.
     */
    PeerRelay(const asio::any_io_executor& executor, Address self, const std::vector<Address>& peers, Metrics& metrics)
        : m_executor { executor }
        , m_self { std::move(self) }
        , m_metrics { metrics }
        , m_relayed { metrics.counter("client_calls_relayed_total") }
        , m_failed { metrics.counter("client_calls_relay_failed_total") }
    {
        setPeers(peers);
    }

    /**
     * @brief Replaces the list of other entries; connections to remaining entries are kept.
     * @param peers Their addresses; may be stale.
     */
    void setPeers(const std::vector<Address>& peers)
    {
        std::erase_if(m_peers, [&](const auto& it) { return std::ranges::find(peers, it.first) == peers.end(); });
        for (const auto& it : peers) {
            if (it != m_self)
                m_peers.try_emplace(it);
        }
    }

    /**
     * @brief Forwards a call to one entry after another until one serves it.
     * @param call The call.
     * @param deadline Time by which the client needs an answer.
     * @return The reply; without one, whether the call may still take effect.
     */
    [[nodiscard]] Awaitable<RelayResult> relay(ClientCall call, TimePoint deadline)
    {
        RelayResult result;
        for (const auto& address : usablePeers()) {
            const auto connection = co_await connectionTo(address);
            const auto left = deadline - BootClock {}.now();
            if (!connection || left <= Duration {}) {
                skipTemporarily(address);
                continue;
            }
            auto copy = call;
            std::optional<ClientCallReply> reply;
            try {
                reply = co_await connection->call<ClientCallReply>(std::move(copy), left);
            } catch (const Error& error) {
                logEvent("relay_unanswered", { { "peer", address.toString() }, { "reason", error.what() } });
                connection->close();
            }
            if (reply && reply->status != unavailableStatus) {
                m_relayed.add();
                logEvent("call_relayed",
                    { { "method", call.method }, { "job", call.path.substr(call.path.rfind('/') + 1) },
                        { "peer", address.toString() }, { "status", reply->status } });
                result.reply = std::move(reply);
                co_return result;
            }
            skipTemporarily(address);
            if (!reply) {
                result.mayTakeEffect = true;
                break;
            }
        }
        m_failed.add();
        co_return result;
    }

private:
    static constexpr unsigned unavailableStatus = 503;

    struct Peer {
        std::shared_ptr<RpcConnection> connection;
        TimePoint skippedUntil { -std::chrono::hours { 24 } };
    };

    [[nodiscard]] std::vector<Address> usablePeers() const
    {
        std::vector<Address> addresses;
        for (const auto& [address, peer] : m_peers) {
            if (BootClock {}.now() >= peer.skippedUntil)
                addresses.push_back(address);
        }
        return addresses;
    }

    void skipTemporarily(const Address& address)
    {
        // setPeers() may have removed the peer since the call was sent.
        if (const auto it = m_peers.find(address); it != m_peers.end())
            it->second.skippedUntil = BootClock {}.now() + peerCooldown;
    }

    [[nodiscard]] Awaitable<std::shared_ptr<RpcConnection>> connectionTo(Address address)
    {
        const auto known = m_peers.find(address);
        if (known != m_peers.end() && known->second.connection && known->second.connection->isOpen())
            co_return known->second.connection;
        auto socket = co_await connectTo(address, connectTimeout);
        if (!socket)
            co_return nullptr;
        const auto connection = std::make_shared<RpcConnection>(std::move(*socket), m_metrics);
        asio::co_spawn(
            m_executor,
            [connection]() -> Awaitable<> {
                RpcConnection::Handler ignore = [](const auto&, Envelope) {};
                co_await connection->run(std::move(ignore));
            },
            asio::detached);
        if (const auto it = m_peers.find(address); it != m_peers.end())
            it->second.connection = connection;
        co_return connection;
    }

    asio::any_io_executor m_executor;
    Address m_self;
    Metrics& m_metrics;
    std::map<Address, Peer> m_peers;
    Counter& m_relayed;
    Counter& m_failed;
};

}
