#include "platform/client_api.h"

#include "platform/operator_codec.h"
#include "platform/store_client.h"

#include "lycheespool/net/rpc_server.h"
#include "lycheespool/store/fake_row_store.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <thread>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

constexpr Duration maxConfigAge = 2s;
constexpr std::uint64_t ownVersion = 2;

/*! @brief An entry whose store fails once its config is read, with a peer that returns one status for all calls. */
class Fixture {
public:
    /*! @brief Behaviour of the store once the config is read. */
    enum class StoreFault { refuses, silent, slowCommits };

    explicit Fixture(unsigned peerStatus, StoreFault fault = StoreFault::refuses, std::uint64_t peerVersion = 0)
        : m_peer { m_pool, { "127.0.0.1", 0 }, m_metrics,
            [this, peerStatus, peerVersion](const auto& source, Envelope envelope) {
                ++m_relayed;
                m_relayedVersion = envelope.as<ClientCall>().minConfigVersion;
                source->send(ClientCallReply { peerStatus, {}, "{}", peerVersion }, envelope.correlation);
            },
            [](const auto&) {} }
        , m_watcher { m_store, platform::operatorSource(), [] {} }
        , m_gateway { m_store, RowNames {}, m_metrics }
        , m_relay { m_pool.context().get_executor(), { "127.0.0.1", 1 }, { m_peer.address() }, m_metrics }
        , m_access { m_watcher, maxConfigAge, m_metrics }
        , m_api { m_gateway, m_access, m_relay }
    {
        m_peer.start();
        const RowName name { "op", {}, "config" };
        m_rows.rows[name] = { name,
            R"({"version":2,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","allowAnonymous":true}]})", 1, false };
        std::promise<void> isRead;
        asio::co_spawn(
            m_pool.context(),
            [this, fault, &isRead]() -> Awaitable<> {
                co_await m_watcher.step();
                m_store.isRefusing = fault == StoreFault::refuses;
                m_store.isSilent = fault != StoreFault::refuses;
                isRead.set_value();
                // A store that is only slow still answers other calls.
                while (fault == StoreFault::slowCommits) {
                    m_store.answered = BootClock {}.now();
                    co_await sleepFor(100ms);
                }
            },
            asio::detached);
        isRead.get_future().wait();
    }
    ~Fixture()
    {
        m_peer.stop();
        // No task may run while the members are destroyed.
        m_pool.stop();
    }

    unsigned post(const std::string& host)
    {
        HttpRequest request { "POST", "/p/id", {}, { { "Host", host } }, R"({"steps":[{"count":1}]})" };
        return asio::co_spawn(m_pool.context(), m_api.handleOrRelay(request), asio::use_future).get().status;
    }

    /*! @brief Requests the number of waiting jobs, for which no call to the store is needed. */
    unsigned count()
    {
        HttpRequest request { "GET", "/p/", {}, { { "Host", "h" } }, {} };
        return asio::co_spawn(m_pool.context(), m_api.handleOrRelay(request), asio::use_future).get().status;
    }

    /*! @brief Handles a job that another entry relayed, and returns the status. */
    unsigned postRelayed(const std::string& path, std::uint64_t minConfigVersion = 0)
    {
        ClientCall call { "POST", path, { { "Host", "h" } }, R"({"steps":[{"count":1}]})", minConfigVersion };
        return asio::co_spawn(m_pool.context(), m_api.handleRelayed(call), asio::use_future).get().status;
    }

    [[nodiscard]] int relayed() const { return m_relayed; }
    [[nodiscard]] std::uint64_t relayedVersion() const { return m_relayedVersion; }

private:
    Metrics m_metrics;
    IoPool m_pool { 1 };
    FakeRows m_rows;
    FakeRowStore m_store { m_rows };
    std::atomic<int> m_relayed { 0 };
    std::atomic<std::uint64_t> m_relayedVersion { 0 };
    RpcServer m_peer;
    OperatorWatcher<FakeRowStore> m_watcher;
    JobGateway<FakeRowStore> m_gateway;
    PeerRelay m_relay;
    AccessControl<OperatorWatcher<FakeRowStore>> m_access;
    platform::ClientApi<FakeRowStore> m_api;
};

}

TEST_CASE("a request that the store refuses is answered by another entry")
{
    Fixture f { 200 };
    CHECK(f.post("h") == 200);
    CHECK(f.relayed() == 1);
}

TEST_CASE("an entry with an older config does not return a denial by another entry's newer config")
{
    Fixture f { 404 };
    CHECK(f.post("h") == 503);
}

// Guards against denials by a config that may be older than the queue or key.
TEST_CASE("a request that an outdated config denies is answered by an entry whose config is in force")
{
    Fixture f { 200 };
    std::this_thread::sleep_for(maxConfigAge + 100ms);
    CHECK(f.post("other") == 200);
    CHECK(f.relayed() == 1);
}

// Guards against calls that are served by a config of any age (CONFIG).
TEST_CASE("a config that is too old serves no call, not even one that needs no store")
{
    Fixture f { 503 };
    CHECK(f.count() == 200);
    CHECK(f.relayed() == 0);
    std::this_thread::sleep_for(maxConfigAge + 100ms);
    CHECK(f.count() == 503);
    CHECK(f.relayed() == 1);
}

// Guards against an answer by an older config after one by a newer config (CONFIG).
TEST_CASE("an entry whose client was answered by a newer config does not return to its own")
{
    Fixture f { 404, Fixture::StoreFault::refuses, ownVersion + 1 };
    CHECK(f.count() == 200);
    CHECK(f.post("h") == 404);
    CHECK(f.relayedVersion() == ownVersion);
    CHECK(f.count() == 404);
    CHECK(f.relayedVersion() == ownVersion + 1);
}

// Guards against a denial of a job that may still be stored by the entry's own attempt (REFUSED).
TEST_CASE("a job whose commit is not answered is not called denied, even if another entry denies it")
{
    Fixture f { 404, Fixture::StoreFault::silent, ownVersion + 1 };
    CHECK(f.post("h") == 504);
    CHECK(f.relayed() == 1);
}

// Guards against an entry that serves the clients of another one by a config older than the one they have seen.
TEST_CASE("a relayed call is not decided by a config older than that of the sender")
{
    Fixture f { 200, Fixture::StoreFault::slowCommits };
    CHECK(f.postRelayed("/q/id", ownVersion) == 404);
    CHECK(f.postRelayed("/q/id", ownVersion + 1) == 503);
}

// Guards against a relayed request that ends the entry which receives it.
TEST_CASE("a relayed job whose id is not UTF-8 is refused before the store is called")
{
    Fixture f { 200 };
    CHECK(f.postRelayed("/p/\xff") == 400);
    CHECK(f.postRelayed("/p/id") == 503);
}

// Guards against an exception that no loop of a gateway expects.
TEST_CASE("row names that are not UTF-8 are an error of the store's client")
{
    Metrics metrics;
    platform::StoreClient store { { "127.0.0.1", 1 }, metrics };
    RowTransaction transaction;
    transaction.writes.push_back({ { "t", {}, "\xff" }, std::string {} });
    CHECK_THROWS_AS((void)await(store.commit(std::move(transaction), 100ms)), Error);
}

// Guards against a wait of nearly two seconds for urgent jobs at an entry that is cut off from the store.
TEST_CASE("a job is stored through another entry while the store does not answer this one")
{
    Fixture f { 200, Fixture::StoreFault::silent };
    CHECK(f.post("h") == 200);
    CHECK(f.relayed() == 1);
}

// Guards against a second write of each job when the store is slow for all entries.
TEST_CASE("a job is not relayed while the store answers other calls")
{
    Fixture f { 200, Fixture::StoreFault::slowCommits };
    CHECK(f.post("h") == 504);
    CHECK(f.relayed() == 0);
}
