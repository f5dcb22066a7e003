#pragma once

#include "lycheespool/core/metrics.h"
#include "lycheespool/net/http_client.h"
#include "lycheespool/store/circuit_breaker.h"
#include "lycheespool/store/row.h"
#include "lycheespool/store/transaction.h"

#include <string>

namespace lycheespool {

/*! @brief Client of the table service over HTTP; a model of Table. */
class HttpTable {
public:
    /*! @brief Longest time for one operation. */
    static constexpr Duration timeout = std::chrono::seconds { 1 };

    /**
     * @brief Constructs a client.
     * @param address Address of the table service.
     * @param metrics Registry for the counters.
     */
    HttpTable(const Address& address, Metrics& metrics);

    /**
     * @brief Reads a row.
     * @param key Key of the row.
     * @return The row, with version 0 when it does not exist.
     * @throws Error of kind unavailable.
     */
    [[nodiscard]] Awaitable<Row> get(std::string key);

    /**
     * @brief Reads all rows with a prefix.
     * @param prefix Start of the keys.
     * @return Rows in the order of their keys.
     * @throws Error of kind unavailable.
     */
    [[nodiscard]] Awaitable<Rows> list(std::string prefix);

    /**
     * @brief Applies a transaction.
     * @param transaction Conditions and writes.
     * @return Committed with the new version, or the conditions that did not hold.
     * @throws Error of kind unavailable when nothing was written, outcomeUnknown when the writes may have taken effect.
     */
    [[nodiscard]] Awaitable<CommitResult> commit(Transaction transaction);

    /**
     * @brief Checks if the circuit breaker of the service is open.
     * @return True while operations fail fast.
     */
    [[nodiscard]] bool isDown() const { return m_breaker.isOpen(); }

private:
    [[nodiscard]] Awaitable<HttpResponse> send(HttpRequest request);

    HttpClient m_client;
    CircuitBreaker m_breaker;
    Counter& m_reads;
    Counter& m_writes;
    Counter& m_failures;
    LatencyHistogram& m_latency;
};

}
