#include "lycheespool/net/rpc_server.h"

#include "lycheespool/net/acceptor.h"
#include "lycheespool/net/sleep.h"

#include <mutex>
#include <set>

namespace lycheespool {

struct RpcServer::State : std::enable_shared_from_this<RpcServer::State> {
    State(IoPool& ioPool, Metrics& registry, RpcConnection::Handler messageHandler, EndHandler connectionEndHandler)
        : pool { ioPool }
        , metrics { registry }
        , handler { std::move(messageHandler) }
        , endHandler { std::move(connectionEndHandler) }
        , acceptor { ioPool.context() }
    {
    }

    Awaitable<> acceptLoop();
    Awaitable<> serve(std::shared_ptr<RpcConnection> connection);

    IoPool& pool;
    Metrics& metrics;
    RpcConnection::Handler handler;
    EndHandler endHandler;
    asio::ip::tcp::acceptor acceptor;
    std::mutex mutex;
    std::set<std::shared_ptr<RpcConnection>> connections;
};

Awaitable<> RpcServer::State::acceptLoop()
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        asio::ip::tcp::socket socket { pool.next() };
        boost::system::error_code ec;
        co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec) {
            co_await sleepFor(std::chrono::milliseconds { 10 });
            continue;
        }
        const auto executor = socket.get_executor();
        const auto connection = std::make_shared<RpcConnection>(std::move(socket), metrics);
        {
            const std::scoped_lock lock { mutex };
            if (connections.size() >= maxConnections)
                continue;
            connections.insert(connection);
        }
        asio::co_spawn(executor, serve(connection), asio::detached);
    }
}

Awaitable<> RpcServer::State::serve(std::shared_ptr<RpcConnection> connection)
{
    const auto self = shared_from_this();
    co_await connection->run(handler);
    {
        const std::scoped_lock lock { mutex };
        connections.erase(connection);
    }
    endHandler(connection);
}

RpcServer::RpcServer(
    IoPool& pool, const Address& address, Metrics& metrics, RpcConnection::Handler handler, EndHandler endHandler)
    : m_state { std::make_shared<State>(pool, metrics, std::move(handler), std::move(endHandler)) }
{
    listenOn(m_state->acceptor, address);
}

RpcServer::~RpcServer() = default;

Address RpcServer::address() const { return boundAddress(m_state->acceptor); }

void RpcServer::start()
{
    asio::co_spawn(
        m_state->acceptor.get_executor(), [state = m_state]() -> Awaitable<> { co_await state->acceptLoop(); },
        asio::detached);
}

void RpcServer::stop()
{
    asio::post(m_state->acceptor.get_executor(), [state = m_state] {
        boost::system::error_code ec;
        state->acceptor.close(ec);
    });
    const std::scoped_lock lock { m_state->mutex };
    for (const auto& it : m_state->connections)
        it->close();
}

}
