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

/*! @brief What became of a call that was passed on. */
struct RelayResult {
    /*! @brief Answer of another entry. */
    std::optional<ClientCallReply> reply;
    /*! @brief An entry got the call and did not answer, so it may still take effect. */
    bool mayTakeEffect { false };
};

/**
 * @brief Passes clients' calls on to other entries while the store does not serve this one.
 *
 * Answers a load in which the store turns some entries away: their clients are served by the others without having to
 * come again. Lives on one thread.
 */
class PeerRelay {
public:
    /*! @brief Longest time for a connection to another entry. */
    static constexpr Duration connectTimeout = std::chrono::milliseconds { 250 };
    /*! @brief Time for which an entry that could not help is left out. */
    static constexpr Duration peerPause = std::chrono::seconds { 2 };

    /**
     * @brief Makes a relay.
     * @param executor Executor of the thread.
     * @param self Address of this process, which is left out.
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
     * @brief Replaces the other entries; connections to those that stay are kept.
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
     * @brief Passes a call on, to one entry after another until one serves it.
     * @param call The call.
     * @param deadline Time by which the client needs an answer.
     * @return An answer, or nothing and whether the call may still take effect.
     */
    [[nodiscard]] Awaitable<RelayResult> relay(ClientCall call, TimePoint deadline)
    {
        RelayResult result;
        for (const auto& address : usablePeers()) {
            const auto connection = co_await connectionTo(address);
            const auto left = deadline - BootClock {}.now();
            if (!connection || left <= Duration {}) {
                pause(address);
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
            pause(address);
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
        TimePoint pausedUntil { -std::chrono::hours { 24 } };
    };

    [[nodiscard]] std::vector<Address> usablePeers() const
    {
        std::vector<Address> addresses;
        for (const auto& [address, peer] : m_peers) {
            if (BootClock {}.now() >= peer.pausedUntil)
                addresses.push_back(address);
        }
        return addresses;
    }

    void pause(const Address& address)
    {
        // The peer may be gone since the call was sent.
        if (const auto it = m_peers.find(address); it != m_peers.end())
            it->second.pausedUntil = BootClock {}.now() + peerPause;
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
