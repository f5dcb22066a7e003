#pragma once

#include "soak/invariant_checker.h"

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

/*! @brief Faults of an executor; all shares lie between 0 and 1. */
struct ExecutorFaults {
    /*! @brief Share of the commands that get no response and are executed seconds later. */
    double lateCommands { 0 };
    /*! @brief Share of the responses that are lost after the command was executed. */
    double lostResponses { 0 };
    /*! @brief Share of the tasks that fail after half of their work. */
    double failures { 0 };
    /*! @brief Responds to each start command with 503 and makes no progress. */
    bool isUnhealthy { false };
};

/*! @brief Gang members that run on all executors; a gang works only when all its members are present. */
class GangRegistry {
public:
    void join(const ObservedRun& run) { m_members[keyOf(run)].insert(run); }
    void leave(const ObservedRun& run) { m_members[keyOf(run)].erase(run); }
    [[nodiscard]] std::size_t memberCount(const ObservedRun& run) const
    {
        const auto it = m_members.find(keyOf(run));
        return it == m_members.end() ? 0 : it->second.size();
    }
    /*! @brief Marks the run as ended, so that the remaining members end as well. */
    void end(const ObservedRun& run, const std::string& endReason) { m_ends.try_emplace(keyOf(run), endReason); }
    [[nodiscard]] std::string endOf(const ObservedRun& run) const
    {
        const auto it = m_ends.find(keyOf(run));
        return it == m_ends.end() ? std::string {} : it->second;
    }

private:
    using Key = std::pair<TaskName, std::uint64_t>;
    static Key keyOf(const ObservedRun& run)
    {
        auto task = run.task;
        task.position.index = 0;
        return { task, run.run };
    }

    std::map<Key, std::set<ObservedRun>> m_members;
    std::map<Key, std::string> m_ends;
};

/*! @brief Name, location, addresses and capacity of an executor. */
struct ExecutorLocation {
    std::string name;
    std::string zone;
    std::string rack;
    Address address;
    /*! @brief Address of the agent on the same VM. */
    Address agent;
    ResourceVector capacity;
};

/*! @brief Lifetimes that an agent may hear of while its executor runs on. */
enum class OtherLifetime : std::uint8_t {
    /*! @brief Another id with a later start, of another sender. */
    newer,
    /*! @brief Another id with an earlier start, whose announcement was delayed. */
    former,
    /*! @brief The executor's id with an earlier start, whose announcement was delayed. */
    formerOfSameId,
    /*! @brief A later start and a service that no config names, of another sender. */
    ofOtherService,
};

/*! @brief Emulates an executor with timed tasks and reports what it observes to the checker. Runs on one thread. */
class ExecutorEmulator {
public:
    ExecutorEmulator(
        IoPool& pool, ExecutorLocation location, InvariantChecker& checker, GangRegistry& gangs, std::uint64_t seed);

    /*! @brief Starts a lifetime with the previous id or a new one; its start time is earlier than that of the lifetime
     * before if the clock was set back. */
    void start(bool keepsId, bool isClockSetBack = false);
    /*! @brief Ends the lifetime at once and discards its runs. */
    void crash();
    /*! @brief Reports that it drains, serves until the drain is acknowledged and over, then departs. */
    void drain() { m_isDraining = true; }
    /*! @brief Sends an announcement of another lifetime until the agent acknowledges one, for a few seconds at most. */
    [[nodiscard]] Awaitable<> announceOther(OtherLifetime kind);
    /*! @brief Sends a departure of a former lifetime with the present id, which arrives late. */
    [[nodiscard]] Awaitable<> departLate();
    [[nodiscard]] bool isUp() const { return m_isUp; }

    ExecutorFaults faults;

private:
    enum class Phase : std::uint8_t {
        running,
        stopping,
    };
    struct Run {
        ObservedRun identity;
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
        ObservedRun identity;
        std::string endReason;
        std::string checkpoint;
    };

    [[nodiscard]] Awaitable<HttpResponse> serve(HttpRequest request);
    [[nodiscard]] Awaitable<HttpResponse> hold(nlohmann::json body, std::uint64_t lifetime);
    [[nodiscard]] Awaitable<> executeLater(HttpRequest request, std::uint64_t lifetime);
    [[nodiscard]] HttpResponse execute(const HttpRequest& request, bool isLate);
    [[nodiscard]] HttpResponse startRun(const nlohmann::json& body, bool isLate);
    [[nodiscard]] HttpResponse stopRun(const nlohmann::json& body);
    [[nodiscard]] HttpResponse makeResponse(unsigned status, const char* reason = nullptr) const;
    [[nodiscard]] bool acceptFencingToken(const nlohmann::json& body);
    void extendLease(const nlohmann::json& body);
    [[nodiscard]] nlohmann::json runReport() const;

    [[nodiscard]] Awaitable<> tickLoop();
    [[nodiscard]] Awaitable<> heartbeatLoop();
    [[nodiscard]] nlohmann::json announcement() const;
    [[nodiscard]] Awaitable<bool> post(std::string id, std::string call, std::string body, Duration timeout);
    [[nodiscard]] Awaitable<> depart();
    void tick();
    void advance(Run& run, Duration passed);
    void stop(Run& run);
    void end(const Run& run, const std::string& endReason);
    void forgetEnds(std::uint64_t acknowledged);
    void saveCheckpoint(Run& run);
    [[nodiscard]] std::int64_t clockMs() const;

    IoPool& m_pool;
    ExecutorLocation m_location;
    InvariantChecker& m_checker;
    GangRegistry& m_gangs;
    std::mt19937_64 m_random;
    /*! @brief Later ends up to the highest acknowledged number are forgotten as they arise. The protocol allows this
     * reading of an acknowledgement as well as one that covers only the ends at the call. */
    bool m_keepsAcknowledgements;
    Metrics m_metrics;
    HttpServer m_server;
    HttpClient m_agent;
    bool m_isUp { false };
    bool m_isDraining { false };
    bool m_isDeparting { false };
    std::string m_id;
    std::int64_t m_startedUnixMs { 0 };
    TimePoint m_startedAt;
    TimePoint m_lastTick;
    std::uint64_t m_lifetime { 0 };
    std::uint64_t m_sequence { 0 };
    std::uint64_t m_epoch { 0 };
    std::int64_t m_leaseEndMs { 0 };
    std::uint64_t m_nextEnd { 1 };
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint64_t> m_highestRuns;
    std::deque<End> m_ends;
    std::uint64_t m_highestAcknowledged { 0 };
};

}
