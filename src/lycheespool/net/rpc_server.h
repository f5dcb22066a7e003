#pragma once

#include "lycheespool/core/metrics.h"
#include "lycheespool/net/address.h"
#include "lycheespool/net/io_pool.h"
#include "lycheespool/net/rpc_connection.h"

#include <functional>
#include <memory>

namespace lycheespool {

/*! @brief Accepts framed connections and spreads them over the threads of a pool. */
class RpcServer {
public:
    /*! @brief Called on the connection's thread when a connection has ended. */
    using EndHandler = std::function<void(const std::shared_ptr<RpcConnection>&)>;
    /*! @brief Most connections at a time; further ones are closed at once. */
    static constexpr std::size_t maxConnections = 8192;

    /**
     * @brief Binds the address.
     * @param pool Threads to use.
     * @param address Address to listen on.
     * @param metrics Registry for counters.
     * @param handler Receives the messages.
     * @param endHandler Told about the end of each connection.
     * @throws Error of kind invalidSetting when the address cannot be bound.
     */
    RpcServer(
        IoPool& pool, const Address& address, Metrics& metrics, RpcConnection::Handler handler, EndHandler endHandler);
    ~RpcServer();
    RpcServer(const RpcServer&) = delete;
    RpcServer& operator=(const RpcServer&) = delete;

    /**
     * @brief Returns the bound address.
     * @return Address with the real port.
     */
    [[nodiscard]] Address address() const;

    /*! @brief Starts to accept connections. */
    void start();

    /*! @brief Stops accepting and ends all connections. */
    void stop();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
