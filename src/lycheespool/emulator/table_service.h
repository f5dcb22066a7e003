#pragma once

#include "lycheespool/emulator/object_store.h"
#include "lycheespool/net/http_server.h"
#include "lycheespool/store/memory_table.h"
#include "lycheespool/store/table_faults.h"

namespace lycheespool {

/**
 * @brief Emulates the platform's table service and object store over HTTP, with faults.
 *
 * `GET /v1/row?key=`, `GET /v1/rows?prefix=`, `POST /v1/transactions`, `PUT` and `GET /v1/objects/<key>`, and
 * `POST /v1/faults` with any of `{"down", "delayMs", "loseAnswers"}`.
 */
class TableService {
public:
    /**
     * @brief Binds the address.
     * @param pool Threads to use.
     * @param address Address to listen on.
     * @param metrics Registry for counters.
     */
    TableService(IoPool& pool, const Address& address, Metrics& metrics);

    /*! @brief Starts to serve. */
    void start() { m_server.start(); }

    /*! @copydoc HttpServer::drain */
    [[nodiscard]] Awaitable<bool> drain(Duration timeout) { return m_server.drain(timeout); }

    /**
     * @brief Returns the bound address.
     * @return Address with the real port.
     */
    [[nodiscard]] Address address() const { return m_server.address(); }

private:
    [[nodiscard]] Awaitable<HttpResponse> handle(HttpRequest request);
    [[nodiscard]] HttpResponse commit(const HttpRequest& request);
    [[nodiscard]] HttpResponse setFaults(const HttpRequest& request);
    [[nodiscard]] HttpResponse handleObject(const HttpRequest& request);

    MemoryTable m_rows;
    ObjectStore m_objects;
    TableFaults m_faults;
    Counter& m_reads;
    Counter& m_writes;
    HttpServer m_server;
};

}
