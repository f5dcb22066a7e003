#include "soak/fault_proxy.h"

#include "soak/soak_bounds.h"

#include "lycheespool/net/sleep.h"

#include <array>
#include <utility>

namespace lycheespool::soak {

namespace {

constexpr Duration delay = 150ms;
constexpr Duration withheldPollInterval = 20ms;
constexpr std::size_t chunkBytes = 16384;

/*! @brief Closes a socket so that its peer sees a reset. */
void resetSocket(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ec;
    socket.set_option(asio::socket_base::linger { true, 0 }, ec);
    socket.close(ec);
}

}

FaultProxy::FaultProxy(asio::io_context& context, const Address& listen, Address target)
    : m_context { context }
    , m_acceptor { context, listen.endpoint() }
    , m_target { std::move(target) }
{
    asio::co_spawn(m_context, acceptLoop(), asio::detached);
}

void FaultProxy::setState(LinkState state)
{
    m_state = state;
    for (const auto& it : m_links)
        it->isStalled = state == LinkState::stalled;
    if (state == LinkState::refusing)
        resetAll();
}

void FaultProxy::resetAll()
{
    const auto links = m_links;
    for (const auto& it : links)
        close(it);
}

void FaultProxy::close(const LinkPtr& link)
{
    resetSocket(link->client);
    resetSocket(link->server);
    m_links.erase(link);
}

bool FaultProxy::holdsBack(const LinkPtr& link, bool isToServer) const
{
    return link->isStalled || m_state == LinkState::silent || (m_state == LinkState::oneWay && !isToServer);
}

Awaitable<> FaultProxy::acceptLoop()
{
    while (true) {
        auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
        auto link = std::make_shared<Link>(Link { std::move(socket), Socket { m_context } });
        if (m_state == LinkState::refusing) {
            resetSocket(link->client);
            continue;
        }
        m_links.insert(link);
        asio::co_spawn(m_context, serve(std::move(link)), asio::detached);
    }
}

Awaitable<> FaultProxy::serve(LinkPtr link)
{
    boost::system::error_code ec;
    co_await link->server.async_connect(m_target.endpoint(), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        close(link);
        co_return;
    }
    asio::co_spawn(m_context, pump(link, true), asio::detached);
    asio::co_spawn(m_context, pump(link, false), asio::detached);
}

Awaitable<> FaultProxy::pump(LinkPtr link, bool isToServer)
{
    auto& source = isToServer ? link->client : link->server;
    auto& sink = isToServer ? link->server : link->client;
    std::array<char, chunkBytes> chunk {};
    boost::system::error_code ec;
    while (true) {
        const auto n
            = co_await source.async_read_some(asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            break;
        if (m_state == LinkState::delayed)
            co_await sleepFor(delay);
        while (holdsBack(link, isToServer) && source.is_open())
            co_await sleepFor(withheldPollInterval);
        co_await asio::async_write(sink, asio::buffer(chunk, n), asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            break;
    }
    if (ec != asio::error::eof) {
        close(link);
        co_return;
    }
    // The end of one direction is forwarded; the other direction stays open until it ends as well.
    while (holdsBack(link, isToServer) && sink.is_open())
        co_await sleepFor(withheldPollInterval);
    boost::system::error_code ignored;
    sink.shutdown(Socket::shutdown_send, ignored);
    if (isToServer)
        co_return;
    close(link);
}

}
