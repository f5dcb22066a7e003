#pragma once

#include "lycheespool/store/fake_row_store.h"

#include "lycheespool/core/metrics.h"
#include "lycheespool/net/http_server.h"
#include "lycheespool/net/io_pool.h"

#include <nlohmann/json.hpp>

#include <map>
#include <random>
#include <string>

namespace lycheespool::soak {

/*! @brief Faults of the store; all shares lie between 0 and 1. */
struct StoreFaults {
    bool isDown { false };
    bool isSilent { false };
    /*! @brief Delay of each response. */
    Duration delay {};
    /*! @brief Share of the transactions that are committed without a response. */
    double lostResponses { 0 };
    /*! @brief Share of the transactions that get no response and are committed seconds later. */
    double lateWrites { 0 };
};

/*! @brief Emulates the platform's row store over HTTP, in memory. Runs on one thread. */
class StoreEmulator {
public:
    /*! @brief Serves gateways at `address` and agents at `agentAddress`. */
    StoreEmulator(IoPool& pool, const Address& address, const Address& agentAddress, std::uint64_t seed);

    /*! @brief Makes agents that look for the leader find the address of a proxy in place of the leader's own. */
    void setLeaderProxy(const Address& leader, const Address& proxy)
    {
        m_leaderProxies[leader.toString()] = proxy.toString();
    }

    /*! @brief Writes a row on behalf of the operator, regardless of the faults. */
    [[nodiscard]] Awaitable<> writeForOperator(std::string key, std::optional<std::string> value);
    /*! @brief Discards the change history. */
    void compact() { m_rows.compactedTo = m_rows.version; }

    StoreFaults faults;

private:
    [[nodiscard]] Awaitable<HttpResponse> serve(HttpRequest request, bool isAgent);
    [[nodiscard]] Awaitable<HttpResponse> commit(HttpRequest request);
    [[nodiscard]] Awaitable<HttpResponse> list(HttpRequest request, bool isAgent);
    void redirectToProxy(StoredRow& lease) const;
    [[nodiscard]] Awaitable<HttpResponse> changes(HttpRequest request);
    [[nodiscard]] Awaitable<> commitLater(RowTransaction transaction);

    IoPool& m_pool;
    std::mt19937_64 m_random;
    FakeRows m_rows;
    FakeRowStore m_store { m_rows };
    Metrics m_metrics;
    std::map<std::string, std::string> m_leaderProxies;
    HttpServer m_server;
    HttpServer m_agentServer;
};

}
