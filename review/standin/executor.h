#pragma once

// Stand-in of an executor: runs tasks by the clock, keeps leases, fencing tokens and the list of ends.

#include "http.h"
#include "record.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <limits>
#include <sstream>
#include <vector>

namespace review {

using Json = nlohmann::json;

struct Step {
    int count { 1 };
    int cpu { 0 };
    int memMb { 0 };
    int gpu { 0 };
    long workMs { 0 };
    bool isGang { false };
    /*! @brief Runs until it is stopped. */
    bool isLasting { false };
    /*! @brief Number of first runs of each task that end `failed`, failAfterMs after their start. */
    std::size_t failures { 0 };
    long failAfterMs { 0 };
};

/*! @brief One run of a task, as its executor saw it. */
struct Run {
    std::string executor;
    std::string task;
    std::uint64_t number { 0 };
    long startedMs { 0 };
    /*! @brief -1 while it runs. */
    long endedMs { -1 };
    std::string how;
    /*! @brief When `lastSeen` reached its end, -1 before. */
    long notedMs { -1 };
    /*! @brief The executor's lease lapsed between the end and its note. */
    bool lapsedBetween { false };
};

/*! @brief Jobs that were sent and runs that were seen, shared by all stand-ins. */
struct Observations {
    std::mutex mutex;
    std::map<std::string, std::vector<Step>> jobs;
    std::map<std::string, std::vector<std::shared_ptr<Run>>> runs;

    [[nodiscard]] Step stepOf(const std::string& task)
    {
        std::istringstream text { task };
        std::string id;
        std::string occurrence;
        std::string step;
        std::getline(text, id, '.');
        std::getline(text, occurrence, '.');
        std::getline(text, step, '.');
        return jobs.at(id).at(std::stoul(step));
    }
};

class Executor {
public:
    static constexpr std::size_t endsPerList = 500;

    struct Place {
        std::string node;
        std::string ip;
        std::string zone;
        std::string service;
        std::vector<std::string> labels;
        std::uint16_t appPort { 0 };
        std::uint16_t controlPort { 0 };
        int cpu { 64000 };
        int memMb { 262144 };
        int gpu { 8 };
        long heartbeatMs { 1500 };
        long maxHoldMs { 0 };
        long stopMs { 0 };
    };

    Executor(Place place, Observations& seen)
        : m_place { std::move(place) }
        , m_seen { seen }
        , m_server { m_place.ip, m_place.appPort, [this](const Request& request) { return serve(request); } }
    {
        std::thread { [this] { tickLoop(); } }.detach();
        std::thread { [this] { heartbeatLoop(); } }.detach();
    }

    void start(const std::string& id)
    {
        {
            const std::scoped_lock lock { m_mutex };
            m_id = id;
            m_born = unixMs();
            m_bornAt = Clock::now();
            m_sequence = 0;
            m_fence = 0;
            m_leaseEnd = 0;
            m_nextEnd = 1;
            m_ends.clear();
            m_highest.clear();
            m_isUp = true;
            ++m_lifetime;
        }
        m_server.open();
        record.line("executor %s on %s starts", id.c_str(), m_place.node.c_str());
        m_beat.notify_all();
    }

    /*! @brief Ends at once with everything that runs. */
    void crash()
    {
        {
            const std::scoped_lock lock { m_mutex };
            m_isUp = false;
            for (auto& [task, live] : m_live) {
                live.run->endedMs = nowMs();
                live.run->how = "crash";
            }
            m_live.clear();
            m_ends.clear();
            m_changed.notify_all();
        }
        m_server.close();
        record.line("executor on %s is gone", m_place.node.c_str());
    }

    /*! @brief Cut off from its machine: nothing arrives, and it runs on. */
    void setCut(bool isCut)
    {
        m_isCut = isCut;
        record.line("executor on %s is %s", m_place.node.c_str(), isCut ? "cut off" : "reachable again");
    }

    /*! @brief Answers each start with 503 and does nothing, while it lists and pings as usual. */
    void setShedding(bool isShedding)
    {
        m_isShedding = isShedding;
        record.line("executor on %s %s", m_place.node.c_str(), isShedding ? "answers each start with 503" : "starts again");
    }

    [[nodiscard]] bool isUp() const { return m_isUp; }
    [[nodiscard]] const Place& place() const { return m_place; }
    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] long born() const { return m_born; }

    [[nodiscard]] int usedCpu()
    {
        const std::scoped_lock lock { m_mutex };
        int sum = 0;
        for (const auto& [task, live] : m_live)
            sum += live.step.cpu;
        return sum;
    }
    [[nodiscard]] std::size_t running()
    {
        const std::scoped_lock lock { m_mutex };
        return m_live.size();
    }

    /*! @brief Called without the lock after a list was answered, with the number of ends in it. */
    std::function<void(std::size_t)> onListed;

private:
    struct Live {
        std::shared_ptr<Run> run;
        Step step;
        long doneAt { 0 };
        long stopAt { -1 };
        long failAt { -1 };
    };
    struct End {
        std::uint64_t number { 0 };
        std::shared_ptr<Run> run;
    };

    [[nodiscard]] long clock() const
    {
        return 5000 + std::chrono::duration_cast<Ms>(Clock::now() - m_bornAt).count();
    }

    [[nodiscard]] Json answer(const char* reason = nullptr) const
    {
        Json json { { "clockMs", clock() }, { "born", m_born } };
        if (reason)
            json["reason"] = reason;
        return json;
    }

    bool acceptFence(const Json& body)
    {
        const auto token = body.value("fencingToken", std::uint64_t { 0 });
        if (token < m_fence)
            return false;
        m_fence = token;
        return true;
    }

    void extendLease(const Json& body)
    {
        if (const auto it = body.find("deadlineMs"); it != body.end())
            m_leaseEnd = std::max(m_leaseEnd, std::min(it->get<long>(), clock() + m_place.maxHoldMs));
    }

    Reply serve(const Request& request)
    {
        // Bytes that wait behind a cut are lost: their sender gives up, or the connection ends.
        while (m_isCut) {
            std::this_thread::sleep_for(Ms { 20 });
            if (!m_isCut)
                return { 0, {}, true };
        }
        const auto body = Json::parse(request.body);
        std::unique_lock lock { m_mutex };
        if (!m_isUp)
            return { 0, {}, true };
        if (request.header("X-Target-Instance") != m_id)
            return { 421, answer().dump(), false };
        if (!acceptFence(body))
            return { 409, answer("fence").dump(), false };
        if (request.path == "/v1/run-start") {
            if (m_isShedding)
                return { 503, answer().dump(), false };
            return startRun(body);
        }
        if (request.path == "/v1/run-stop")
            return stopRun(body);
        if (request.path == "/v1/hold")
            return hold(body, lock);
        return { 404, "{}", false };
    }

    Reply startRun(const Json& body)
    {
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<std::uint64_t>();
        extendLease(body);
        const auto known = m_live.find(task);
        if (known != m_live.end() && known->second.run->number == number)
            return { 200, answer().dump(), false };
        if (known != m_live.end() || number <= m_highest[task])
            return { 409, answer("old").dump(), false };
        if (body.value("deadlineMs", 0L) <= clock())
            return { 409, answer("late").dump(), false };
        const std::scoped_lock seen { m_seen.mutex };
        Live live;
        live.run = std::make_shared<Run>();
        live.run->executor = m_id;
        live.run->task = task;
        live.run->number = number;
        live.run->startedMs = nowMs();
        live.step = m_seen.stepOf(task);
        auto& runs = m_seen.runs[task];
        if (runs.size() < live.step.failures)
            live.failAt = nowMs() + live.step.failAfterMs;
        live.doneAt = live.step.isLasting ? std::numeric_limits<long>::max() : nowMs() + live.step.workMs;
        runs.push_back(live.run);
        m_live[task] = live;
        record.line("start %s run %lu on %s", task.c_str(), static_cast<unsigned long>(number), m_id.c_str());
        return { 200, answer().dump(), false };
    }

    Reply stopRun(const Json& body)
    {
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<std::uint64_t>();
        const auto known = m_live.find(task);
        if (known == m_live.end())
            m_highest[task] = std::max(m_highest[task], number);
        else if (known->second.run->number <= number && known->second.stopAt < 0)
            known->second.stopAt = nowMs() + m_place.stopMs / 2;
        return { 200, answer().dump(), false };
    }

    Reply hold(const Json& body, std::unique_lock<std::mutex>& lock)
    {
        extendLease(body);
        const auto seen = body.value("lastSeen", std::uint64_t { 0 });
        while (!m_ends.empty() && m_ends.front().number <= seen) {
            m_ends.front().run->notedMs = nowMs();
            m_ends.pop_front();
        }
        const auto lifetime = m_lifetime;
        const auto until = Clock::now() + Ms { std::min(body.value("waitMs", 0L), 2000L) };
        while (m_isUp && m_lifetime == lifetime && m_ends.empty() && Clock::now() < until)
            m_changed.wait_until(lock, until);
        if (!m_isUp || m_lifetime != lifetime || m_isCut)
            return { 0, {}, true };
        auto json = answer();
        json["running"] = Json::array();
        json["ended"] = Json::array();
        for (const auto& [task, live] : m_live) {
            const auto percent = 100 * (nowMs() - live.run->startedMs) / std::max(1L, live.step.workMs);
            json["running"].push_back({ task, live.run->number, "", live.step.isLasting ? 100L : std::min(99L, percent), live.step.cpu });
        }
        for (std::size_t i = 0; i < std::min(m_ends.size(), endsPerList); ++i) {
            const auto& run = *m_ends[i].run;
            json["ended"].push_back({ m_ends[i].number, run.task, run.number, run.how, "" });
        }
        const auto count = json["ended"].size();
        lock.unlock();
        if (onListed)
            onListed(count);
        return { 200, json.dump(), false };
    }

    void end(Live& live, const char* how)
    {
        auto& run = *live.run;
        run.endedMs = nowMs();
        run.how = how;
        m_highest[run.task] = std::max(m_highest[run.task], run.number);
        m_ends.push_back({ m_nextEnd++, live.run });
        record.line("end %s run %lu on %s: %s", run.task.c_str(), static_cast<unsigned long>(run.number), m_id.c_str(), how);
    }

    void tickLoop()
    {
        while (true) {
            std::this_thread::sleep_for(Ms { 10 });
            const std::scoped_lock lock { m_mutex };
            if (!m_isUp)
                continue;
            const bool hasLapsed = clock() > m_leaseEnd;
            const std::scoped_lock seen { m_seen.mutex };
            if (hasLapsed) {
                for (const auto& it : m_ends)
                    it.run->lapsedBetween = true;
            }
            bool changed = false;
            for (auto it = m_live.begin(); it != m_live.end();) {
                auto& live = it->second;
                const char* how = nullptr;
                if (hasLapsed)
                    how = "lapsed";
                else if (live.stopAt >= 0 && nowMs() >= live.stopAt)
                    how = "stopped";
                else if (live.stopAt < 0 && live.failAt >= 0 && nowMs() >= live.failAt)
                    how = "failed";
                else if (live.stopAt < 0 && nowMs() >= live.doneAt)
                    how = "done";
                if (how) {
                    end(live, how);
                    changed = true;
                    it = m_live.erase(it);
                } else {
                    ++it;
                }
            }
            if (changed)
                m_changed.notify_all();
        }
    }

    void heartbeatLoop()
    {
        std::unique_lock lock { m_mutex };
        while (true) {
            m_beat.wait_for(lock, Ms { m_place.heartbeatMs });
            if (!m_isUp || m_isCut)
                continue;
            const Json body { { "service", m_place.service },
                { "addr", m_place.ip + ":" + std::to_string(m_place.appPort) }, { "zone", m_place.zone },
                { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldRemainingMs", 0 },
                { "capacity", { { "cpu", m_place.cpu }, { "memMb", m_place.memMb }, { "gpu", m_place.gpu } } },
                { "labels", m_place.labels }, { "clockMs", clock() }, { "seq", ++m_sequence }, { "born", m_born } };
            const auto path = "/v1/instances/" + m_id + "/heartbeat";
            lock.unlock();
            (void)call(m_place.ip, m_place.controlPort, "POST", path, body.dump(), {}, Ms { 1000 });
            lock.lock();
        }
    }

    Place m_place;
    Observations& m_seen;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::condition_variable m_beat;
    std::atomic<bool> m_isUp { false };
    std::atomic<bool> m_isCut { false };
    std::atomic<bool> m_isShedding { false };
    std::string m_id;
    long m_born { 0 };
    Clock::time_point m_bornAt;
    std::uint64_t m_lifetime { 0 };
    std::uint64_t m_sequence { 0 };
    std::uint64_t m_fence { 0 };
    long m_leaseEnd { 0 };
    std::uint64_t m_nextEnd { 1 };
    std::map<std::string, Live> m_live;
    std::map<std::string, std::uint64_t> m_highest;
    std::deque<End> m_ends;
    Server m_server;
};

}
