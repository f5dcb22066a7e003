#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/net/address.h"
#include "lycheespool/net/asio.h"

#include <cstdint>
#include <memory>
#include <set>

namespace lycheespool::soak {

/*! @brief How a proxy treats connections and data. */
enum class LinkState : std::uint8_t {
    open,
    /*! @brief Data is delayed. */
    delayed,
    /*! @brief No data is forwarded in either direction; connections stay open. */
    silent,
    /*! @brief Requests are forwarded, responses are not. */
    oneWay,
    /*! @brief Connections that exist forward no data, while new ones work. */
    stalled,
    /*! @brief Connections are reset at once. */
    refusing,
};

/*! @brief TCP proxy on loopback that injects faults into one link. Runs on one thread. */
class FaultProxy {
public:
    FaultProxy(asio::io_context& context, const Address& listen, Address target);

    void setState(LinkState state);
    /*! @brief Resets all connections. */
    void resetAll();

private:
    using Socket = asio::ip::tcp::socket;
    struct Link {
        Socket client;
        Socket server;
        bool isStalled { false };
    };
    using LinkPtr = std::shared_ptr<Link>;

    [[nodiscard]] Awaitable<> acceptLoop();
    [[nodiscard]] Awaitable<> serve(LinkPtr link);
    [[nodiscard]] Awaitable<> pump(LinkPtr link, bool isToServer);
    [[nodiscard]] bool holdsBack(const LinkPtr& link, bool isToServer) const;
    void close(const LinkPtr& link);

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    Address m_target;
    LinkState m_state { LinkState::open };
    std::set<LinkPtr> m_links;
};

}
