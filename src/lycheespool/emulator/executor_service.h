#pragma once

#include "lycheespool/net/http_server.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace lycheespool {

/*! @brief Settings of an emulated executor. */
struct ExecutorServiceSettings {
    Address address;
    std::uint32_t slots { 8 };
    /*! @brief Most connections, as the real endpoints have it. */
    std::uint32_t connections { 60 };
    Duration serviceTime {};
};

/**
 * @brief Emulates an executor over HTTP: runs requests in slots and counts executions by key.
 *
 * `POST /v1/execute` echoes the body after the service time; `GET /v1/executions` returns
 * `{"total", "keys", "duplicates"}`; `POST /v1/faults` takes any of `{"failAll", "slowFactor"}`.
 */
class ExecutorService {
public:
    /**
     * @brief Binds the address.
     * @param pool Threads to use.
     * @param settings Settings.
     * @param metrics Registry for counters.
     */
    ExecutorService(IoPool& pool, ExecutorServiceSettings settings, Metrics& metrics);

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
    [[nodiscard]] Awaitable<HttpResponse> execute(HttpRequest request);
    [[nodiscard]] HttpResponse report() const;
    [[nodiscard]] HttpResponse setFaults(const HttpRequest& request);
    void countExecution(const HttpRequest& request);

    ExecutorServiceSettings m_settings;
    std::atomic<std::uint32_t> m_busy { 0 };
    std::atomic<bool> m_failAll { false };
    std::atomic<std::uint32_t> m_slowFactor { 1 };
    std::atomic<std::uint64_t> m_total { 0 };
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_runsByKey;
    HttpServer m_server;
};

}
