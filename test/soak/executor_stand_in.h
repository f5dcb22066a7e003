#pragma once

#include "soak/referee.h"

#include "lycheespool/core/metrics.h"
#include "lycheespool/net/http_client.h"
#include "lycheespool/net/http_server.h"
#include "lycheespool/net/io_pool.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace lycheespool::soak {

/*! @brief Disturbances of an executor; all shares lie between 0 and 1. */
struct ExecutorFaults {
    /*! @brief Share of the orders that get no answer and are carried out seconds later. */
    double lateOrders { 0 };
    /*! @brief Share of the answers that are lost after the order was carried out. */
    double lostAnswers { 0 };
    /*! @brief Share of the tasks that fail half-way. */
    double failures { 0 };
    /*! @brief Answers every order with 503 and makes no progress. */
    bool isUnhealthy { false };
};

/*! @brief Runs of gangs on all executors, which have to see each other before they work. */
class GangBoard {
public:
    void join(const RunSeen& run) { m_members[keyOf(run)].insert(run); }
    void leave(const RunSeen& run) { m_members[keyOf(run)].erase(run); }
    [[nodiscard]] std::size_t present(const RunSeen& run) const
    {
        const auto it = m_members.find(keyOf(run));
        return it == m_members.end() ? 0 : it->second.size();
    }
    /*! @brief Marks the run as ended, so that the members that are left end as well. */
    void end(const RunSeen& run, const std::string& how) { m_ends.try_emplace(keyOf(run), how); }
    [[nodiscard]] std::string endOf(const RunSeen& run) const
    {
        const auto it = m_ends.find(keyOf(run));
        return it == m_ends.end() ? std::string {} : it->second;
    }

private:
    using Key = std::pair<TaskName, std::uint64_t>;
    static Key keyOf(const RunSeen& run)
    {
        auto task = run.task;
        task.position.index = 0;
        return { task, run.run };
    }

    std::map<Key, std::set<RunSeen>> m_members;
    std::map<Key, std::string> m_ends;
};

/*! @brief Names and addresses of an executor. */
struct ExecutorPlace {
    std::string name;
    std::string zone;
    std::string rack;
    Address address;
    /*! @brief Address of the agent on the same VM. */
    Address agent;
    ResourceVector capacity;
};

/*! @brief Executor that runs tasks by the clock and tells the referee what it is told. Lives on one thread. */
class ExecutorStandIn {
public:
    ExecutorStandIn(IoPool& pool, ExecutorPlace place, Referee& referee, GangBoard& gangs, std::uint64_t seed);

    /*! @brief Starts a lifetime, with the id of the last one or a new one. */
    void start(bool keepsId);
    /*! @brief Ends the lifetime at once; nothing of it is left. */
    void crash();
    /*! @brief Announces the departure, serves until it is acknowledged and over, then leaves. */
    void drain() { m_isDraining = true; }
    [[nodiscard]] bool isUp() const { return m_isUp; }

    ExecutorFaults faults;

private:
    enum class Phase : std::uint8_t {
        running,
        stopping,
    };
    struct Run {
        RunSeen seen;
        ResourceVector amount;
        Duration work {};
        Duration done {};
        Duration restoring {};
        TimePoint startedAt;
        TimePoint stopsAt;
        Phase phase { Phase::running };
        bool isGang { false };
        bool savesCheckpoints { false };
        bool fails { false };
        std::string checkpoint;
    };
    struct End {
        std::uint64_t number { 0 };
        RunSeen seen;
        std::string how;
        std::string checkpoint;
    };

    [[nodiscard]] Awaitable<HttpResponse> serve(HttpRequest request);
    [[nodiscard]] Awaitable<HttpResponse> hold(nlohmann::json body, std::uint64_t lifetime);
    [[nodiscard]] Awaitable<> executeLater(HttpRequest request, std::uint64_t lifetime);
    [[nodiscard]] HttpResponse execute(const HttpRequest& request, bool isLate);
    [[nodiscard]] HttpResponse startRun(const nlohmann::json& body, bool isLate);
    [[nodiscard]] HttpResponse stopRun(const nlohmann::json& body);
    [[nodiscard]] HttpResponse answer(unsigned status, const char* reason = nullptr) const;
    [[nodiscard]] bool takeFence(const nlohmann::json& body);
    void takeLease(const nlohmann::json& body);
    [[nodiscard]] nlohmann::json lists() const;

    [[nodiscard]] Awaitable<> tickLoop();
    [[nodiscard]] Awaitable<> announceLoop();
    [[nodiscard]] Awaitable<> leave();
    void tick();
    void advance(Run& run, Duration passed);
    void stop(Run& run);
    void end(const Run& run, const std::string& how);
    void saveCheckpoint(Run& run);
    [[nodiscard]] std::int64_t clockMs() const;

    IoPool& m_pool;
    ExecutorPlace m_place;
    Referee& m_referee;
    GangBoard& m_gangs;
    std::mt19937_64 m_random;
    Metrics m_metrics;
    HttpServer m_server;
    HttpClient m_agent;
    bool m_isUp { false };
    bool m_isDraining { false };
    bool m_isLeaving { false };
    std::string m_id;
    std::int64_t m_bornUnixMs { 0 };
    TimePoint m_born;
    TimePoint m_lastTick;
    std::uint64_t m_lifetime { 0 };
    std::uint64_t m_sequence { 0 };
    std::uint64_t m_epoch { 0 };
    std::int64_t m_leaseEndMs { 0 };
    std::uint64_t m_nextEnd { 1 };
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint64_t> m_highestRuns;
    std::deque<End> m_ends;
};

}
