#pragma once

#include "lycheespool/store/fake_row_store.h"

#include "lycheespool/core/metrics.h"
#include "lycheespool/net/http_server.h"
#include "lycheespool/net/io_pool.h"

#include <nlohmann/json.hpp>

#include <random>
#include <string>

namespace lycheespool::soak {

/*! @brief Disturbances of the store; all shares lie between 0 and 1. */
struct StoreFaults {
    bool isDown { false };
    bool isSilent { false };
    /*! @brief Delay of each answer. */
    Duration delay {};
    /*! @brief Share of the transactions that are carried out without an answer. */
    double lostAnswers { 0 };
    /*! @brief Share of the transactions without an answer that are carried out seconds later. */
    double lateWrites { 0 };
};

/*! @brief The platform's row store over HTTP, in memory. Lives on one thread. */
class StoreStandIn {
public:
    StoreStandIn(IoPool& pool, const Address& address, std::uint64_t seed);

    /*! @brief Writes a row for the operator, whatever the faults are. */
    [[nodiscard]] Awaitable<> writeForOperator(std::string key, std::optional<std::string> value);
    /*! @brief Drops the history of changes. */
    void compact() { m_rows.compactedTo = m_rows.version; }

    StoreFaults faults;

private:
    [[nodiscard]] Awaitable<HttpResponse> serve(HttpRequest request);
    [[nodiscard]] Awaitable<HttpResponse> commit(HttpRequest request);
    [[nodiscard]] Awaitable<HttpResponse> list(HttpRequest request);
    [[nodiscard]] Awaitable<HttpResponse> changes(HttpRequest request);
    [[nodiscard]] Awaitable<> commitLater(RowTransaction transaction);

    IoPool& m_pool;
    std::mt19937_64 m_random;
    FakeRows m_rows;
    FakeRowStore m_store { m_rows };
    Metrics m_metrics;
    HttpServer m_server;
};

}
