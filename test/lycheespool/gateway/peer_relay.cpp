#include "lycheespool/gateway/peer_relay.h"

#include "lycheespool/net/rpc_server.h"

#include <doctest/doctest.h>

#include <future>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

/*! @brief An entry that answers every call with one status, or not at all. */
class Peer {
public:
    Peer(IoPool& pool, Metrics& metrics, unsigned status, bool isSilent = false)
        : m_server { pool, { "127.0.0.1", 0 }, metrics,
            [status, isSilent](const auto& source, Envelope envelope) {
                if (!isSilent)
                    source->send(ClientCallReply { status, {}, "from a peer" }, envelope.correlation);
            },
            [](const auto&) {} }
    {
        m_server.start();
    }
    ~Peer() { m_server.stop(); }

    [[nodiscard]] Address address() const { return m_server.address(); }

private:
    RpcServer m_server;
};

RelayResult relayTo(IoPool& pool, Metrics& metrics, const std::vector<Address>& peers, Duration timeout = 5s)
{
    PeerRelay relay { pool.context().get_executor(), { "127.0.0.1", 1 }, peers, metrics };
    const ClientCall call { "POST", "/queue/id", {}, "{}" };
    auto result = asio::co_spawn(pool.context(), relay.relay(call, BootClock {}.now() + timeout), asio::use_future);
    return result.get();
}

}

TEST_CASE("a call is answered by the first entry that can serve it")
{
    // Must outlive the pool: connections count frames until it has stopped.
    Metrics metrics;
    IoPool pool { 1 };
    Peer busy { pool, metrics, 503 };
    Peer good { pool, metrics, 200 };
    const auto result = relayTo(pool, metrics, { busy.address(), good.address(), { "127.0.0.1", 1 } });
    REQUIRE(result.reply);
    CHECK(result.reply->status == 200);
}

TEST_CASE("a call that no entry served cannot take effect")
{
    // Must outlive the pool: connections count frames until it has stopped.
    Metrics metrics;
    IoPool pool { 1 };
    Peer busy { pool, metrics, 503 };
    const auto result = relayTo(pool, metrics, { busy.address(), { "127.0.0.1", 9 } });
    CHECK_FALSE(result.reply);
    CHECK_FALSE(result.mayTakeEffect);
}

TEST_CASE("a call that an entry received and did not answer may take effect and is sent to no other entry")
{
    // Must outlive the pool: connections count frames until it has stopped.
    Metrics metrics;
    IoPool pool { 1 };
    Peer silent { pool, metrics, 200, true };
    const auto result = relayTo(pool, metrics, { silent.address() }, 300ms);
    CHECK_FALSE(result.reply);
    CHECK(result.mayTakeEffect);
}
