#pragma once

#include "lycheespool/agent/entry_link.h"
#include "lycheespool/net/http_server.h"
#include "lycheespool/net/io_pool.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Settings common to the agents of executors and of workers. */
struct AgentSettings {
    Incarnation incarnation;
    /*! @brief RPC addresses of some entries; the agent learns the others from them. */
    std::vector<Address> entries;
    /*! @brief Address for metrics and health. */
    Address http;
};

/**
 * @brief Process of an agent: one endpoint and its links to all entries. Uses only the first thread of a pool.
 * @tparam EndpointType Model of Endpoint.
 */
template <Endpoint EndpointType>
class AgentProcess {
public:
    /*! @brief Link to one entry. */
    using Link = EntryLink<EndpointType>;
    /*! @brief Time without contact after which the link to an entry that is not in the settings is removed. */
    static constexpr Duration entryExpiry = std::chrono::seconds { 30 };

    /**
     * @brief Binds the HTTP address.
     * @param pool Thread pool; only its first thread is used.
     * @param settings Settings of the agent.
     * @param endpoint Endpoint that is connected to the entries.
     * @param metrics Metrics registry.
     */
    AgentProcess(IoPool& pool, AgentSettings settings, EndpointType& endpoint, Metrics& metrics)
        : m_pool { pool }
        , m_settings { std::move(settings) }
        , m_endpoint { endpoint }
        , m_metrics { metrics }
        , m_server { pool, m_settings.http, metrics, [this](HttpRequest request) { return serve(std::move(request)); } }
    {
    }

    /*! @brief Starts the HTTP server and connects to the entries of the settings. */
    void start()
    {
        m_server.start();
        asio::post(m_pool.context(), [this] {
            for (const auto& it : m_settings.entries)
                connect(it, Duration::max());
        });
    }

    /**
     * @brief Drains the agent: notifies all entries, finishes the work in progress and closes the links.
     * @param timeout Maximum time to wait for the work in progress.
     * @return True if no work was interrupted.
     */
    [[nodiscard]] Awaitable<bool> drain(Duration timeout)
    {
        const auto links = m_links;
        for (const auto& [address, link] : links)
            co_await link->sendGoodbye(m_settings.incarnation);
        const bool clean = co_await m_endpoint.drain(timeout);
        // Allows the last replies to be sent before the connections are closed.
        co_await sleepFor(std::chrono::milliseconds { 50 });
        for (const auto& [address, link] : m_links)
            link->stop();
        (void)co_await m_server.drain(std::chrono::seconds { 1 });
        co_return clean;
    }

    /**
     * @brief Sends a heartbeat to every connected entry, so that the endpoint receives the latest freshness proof.
     * @return True if an entry answered.
     */
    [[nodiscard]] Awaitable<bool> refresh()
    {
        const auto round = std::make_shared<RefreshRound>();
        for (const auto& [address, link] : m_links) {
            ++round->pending;
            asio::co_spawn(m_pool.context(), refreshOne(link, round), asio::detached);
        }
        const auto deadline = SteadyClock {}.now() + refreshTimeout;
        while (round->pending > 0 && SteadyClock {}.now() < deadline)
            co_await sleepFor(refreshPollInterval);
        co_return round->answered;
    }

private:
    // Bounds the delay that an unresponsive entry adds to a start.
    static constexpr Duration refreshTimeout = std::chrono::milliseconds { 500 };
    static constexpr Duration refreshPollInterval = std::chrono::milliseconds { 2 };

    struct RefreshRound {
        std::size_t pending { 0 };
        bool answered { false };
    };

    [[nodiscard]] static Awaitable<> refreshOne(std::shared_ptr<Link> link, std::shared_ptr<RefreshRound> round)
    {
        const bool answered = co_await link->exchangeHeartbeat();
        round->answered = round->answered || answered;
        --round->pending;
    }

    void connect(const Address& address, Duration contactTimeout)
    {
        if (m_links.contains(address))
            return;
        auto link = std::make_shared<Link>(
            m_endpoint, address, m_metrics, [this](const std::vector<std::string>& entries) { addEntries(entries); });
        m_links.emplace(address, link);
        asio::co_spawn(m_pool.context(), runLink(address, link, contactTimeout), asio::detached);
    }

    [[nodiscard]] Awaitable<> runLink(Address address, std::shared_ptr<Link> link, Duration contactTimeout)
    {
        co_await link->run(contactTimeout);
        m_links.erase(address);
    }

    void addEntries(const std::vector<std::string>& entries)
    {
        for (const auto& it : entries)
            connect(parseAddress(it), entryExpiry);
    }

    [[nodiscard]] Awaitable<HttpResponse> serve(HttpRequest request)
    {
        HttpResponse response;
        response.contentType = "text/plain; version=0.0.4";
        if (request.path == "/metrics")
            response.body = m_metrics.render();
        else if (request.path == "/healthz")
            response.body = "ok\n";
        else
            throw Error { ErrorKind::notFound, "unknown path " + request.path, "use /metrics or /healthz" };
        co_return response;
    }

    IoPool& m_pool;
    AgentSettings m_settings;
    EndpointType& m_endpoint;
    Metrics& m_metrics;
    std::map<Address, std::shared_ptr<Link>> m_links;
    HttpServer m_server;
};

}
