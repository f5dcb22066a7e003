#include "lycheespool/agent/entry_link.h"

#include "lycheespool/net/rpc_server.h"

#include <doctest/doctest.h>

#include <future>

using namespace lycheespool;

namespace {

struct SilentEndpoint {
    [[nodiscard]] Hello hello() const { return {}; }
    [[nodiscard]] Heartbeat heartbeat() { return {}; }
    void handle(const std::shared_ptr<RpcConnection>&, const Envelope&) { }
    void received(const HeartbeatReply&, TimePoint) { }
    [[nodiscard]] Awaitable<bool> drain(Duration) { co_return true; }
};

/*! @brief Closes each connection shortly after a heartbeat; the second announcement fulfils the promise. */
struct RestartingEntry {
    std::atomic<int> announcements { 0 };
    std::promise<void> secondAnnouncement;

    void receive(const std::shared_ptr<RpcConnection>& connection, const Envelope& envelope)
    {
        if (envelope.type == MessageType::hello) {
            connection->send(HelloReply {}, envelope.correlation);
            if (++announcements == 2)
                secondAnnouncement.set_value();
            return;
        }
        connection->send(HeartbeatReply {}, envelope.correlation);
        const auto delay = std::chrono::milliseconds { 50 };
        const auto closeLater = [](std::shared_ptr<RpcConnection> closing, Duration wait) -> Awaitable<> {
            co_await sleepFor(wait);
            closing->close();
        };
        asio::co_spawn(connection->executor(), closeLater(connection, delay), asio::detached);
    }
};

}

// Guards against an agent that does not reconnect to a restarted entry until its next heartbeat is due.
TEST_CASE("a link reconnects without waiting for the next heartbeat when its connection ends")
{
    Metrics metrics;
    SilentEndpoint endpoint;
    RestartingEntry entry;
    IoPool pool { 1 };
    RpcServer server { pool, { "127.0.0.1", 0 }, metrics,
        [&](const auto& connection, const Envelope& envelope) { entry.receive(connection, envelope); },
        [](const auto&) {} };
    server.start();
    const auto link = std::make_shared<EntryLink<SilentEndpoint>>(
        endpoint, server.address(), metrics, [](const auto&) {}, std::chrono::hours { 1 });
    asio::co_spawn(pool.context(), link->run(Duration::max()), asio::detached);
    CHECK(entry.secondAnnouncement.get_future().wait_for(std::chrono::seconds { 30 }) == std::future_status::ready);
    pool.stop();
}
