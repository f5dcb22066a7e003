#pragma once

#include "lycheespool/agent/entry_link.h"
#include "lycheespool/net/http_server.h"
#include "lycheespool/net/io_pool.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Settings that agents beside executors and workers share. */
struct AgentSettings {
    Incarnation incarnation;
    /*! @brief RPC addresses of some entries; the others are learned from them. */
    std::vector<Address> entries;
    /*! @brief Address for metrics and health. */
    Address http;
};

/**
 * @brief An agent: one endpoint and its links to all entries, on the first thread of a pool.
 * @tparam EndpointType Model of Endpoint.
 */
template <Endpoint EndpointType>
class AgentProcess {
public:
    /*! @brief Link to one entry. */
    using Link = EntryLink<EndpointType>;
    /*! @brief Time after which an entry that is not in the settings is forgotten. */
    static constexpr Duration forgetEntryAfter = std::chrono::seconds { 30 };

    /**
     * @brief Binds the HTTP address.
     * @param pool Threads; only the first one is used.
     * @param settings Settings.
     * @param endpoint The endpoint.
     * @param metrics Registry for counters.
     */
    AgentProcess(IoPool& pool, AgentSettings settings, EndpointType& endpoint, Metrics& metrics)
        : m_pool { pool }
        , m_settings { std::move(settings) }
        , m_endpoint { endpoint }
        , m_metrics { metrics }
        , m_server { pool, m_settings.http, metrics, [this](HttpRequest request) { return serve(std::move(request)); } }
    {
    }

    /*! @brief Starts to serve and to connect. */
    void start()
    {
        m_server.start();
        asio::post(m_pool.context(), [this] {
            for (const auto& it : m_settings.entries)
                connect(it, Duration::max());
        });
    }

    /**
     * @brief Leaves: tells all entries, finishes the work in flight, ends the links.
     * @param timeout Longest time for the work in flight.
     * @return True when nothing was cut.
     */
    [[nodiscard]] Awaitable<bool> drain(Duration timeout)
    {
        const auto links = m_links;
        for (const auto& [address, link] : links)
            co_await link->sayGoodbye(m_settings.incarnation);
        const bool clean = co_await m_endpoint.drain(timeout);
        // Lets the last answers leave before the connections end.
        co_await sleepFor(std::chrono::milliseconds { 50 });
        for (const auto& [address, link] : m_links)
            link->stop();
        (void)co_await m_server.drain(std::chrono::seconds { 1 });
        co_return clean;
    }

    /**
     * @brief Sends a heartbeat to every connected entry, so that the endpoint gets the newest freshness proof.
     * @return True when an entry answered.
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
            co_await sleepFor(refreshPoll);
        co_return round->answered;
    }

private:
    // Bounds the delay that one entry without an answer adds to a start.
    static constexpr Duration refreshTimeout = std::chrono::milliseconds { 500 };
    static constexpr Duration refreshPoll = std::chrono::milliseconds { 2 };

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

    void connect(const Address& address, Duration giveUpAfter)
    {
        if (m_links.contains(address))
            return;
        auto link = std::make_shared<Link>(
            m_endpoint, address, m_metrics, [this](const std::vector<std::string>& entries) { learn(entries); });
        m_links.emplace(address, link);
        asio::co_spawn(m_pool.context(), keep(address, link, giveUpAfter), asio::detached);
    }

    [[nodiscard]] Awaitable<> keep(Address address, std::shared_ptr<Link> link, Duration giveUpAfter)
    {
        co_await link->run(giveUpAfter);
        m_links.erase(address);
    }

    void learn(const std::vector<std::string>& entries)
    {
        for (const auto& it : entries)
            connect(parseAddress(it), forgetEntryAfter);
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
