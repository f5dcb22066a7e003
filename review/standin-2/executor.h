// Stand-in for one executor: run-start, run-stop, hold and pings as PROTOCOL.md has them. The text `spec` of a job says
// how long a task works: "work=MS". With "lasts" it is a task of a long-running step, which fails by itself after that
// time; with "saves" it checkpoints its progress each 2 s of work and at a stop; with "crashes" its
// executor ends at that time.
#pragma once

#include "record.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <mutex>

namespace standin {

using Json = nlohmann::json;

struct ExecutorOptions {
    std::string name;
    std::string id;
    std::string listen;
    std::string agent;
    std::string zone;
    std::string service;
    std::vector<std::string> labels;
    std::int64_t cpu { 0 };
    std::int64_t memMb { 0 };
    std::int64_t gpu { 0 };
    std::int64_t maxHoldMs { 6000 };
    /*! @brief Time that a stop takes; at most the bound stopTimeoutMs. */
    std::int64_t stopMs { 300 };
    std::int64_t heartbeatMs { 1500 };
};

class Executor {
public:
    explicit Executor(ExecutorOptions options)
        : m_options { std::move(options) }
        , m_born { unixMs() }
        , m_startedMs { steadyMs() }
    {
    }

    void run()
    {
        record("up " + m_options.name + " born=" + std::to_string(m_born) + " id=" + m_options.id);
        std::thread { [this] { serve(m_options.listen, [this](const Request& it) { return handle(it); }); } }.detach();
        std::thread { [this] { ping(); } }.detach();
        while (true) {
            sleepMs(5);
            const std::scoped_lock lock { m_mutex };
            tick();
        }
    }

private:
    struct Run {
        std::uint64_t number { 0 };
        std::int64_t startedMs { 0 };
        std::int64_t workMs { 0 };
        std::int64_t stopsMs { 0 };
        std::string checkpoint;
        bool lasts { false };
        bool saves { false };
        bool crashes { false };
        /*! @brief Work that the checkpoint of an earlier run has saved, ms. */
        std::int64_t resumedMs { 0 };
    };

    static constexpr std::int64_t checkpointMs = 2000;
    static constexpr std::int64_t restoreMs = 250;

    static std::int64_t doneMs(const Run& run)
    {
        const auto worked = steadyMs() - run.startedMs - (run.resumedMs > 0 ? restoreMs : 0);
        return std::min(run.workMs, run.resumedMs + std::max<std::int64_t>(0, worked));
    }

    static std::int64_t savedMs(const Run& run)
    {
        return run.checkpoint.empty() ? 0 : std::stoll(run.checkpoint, nullptr, 16);
    }

    /*! @brief Names of checkpoints begin with the work that they hold. */
    static void save(Run& run)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(doneMs(run)));
        run.checkpoint = text;
    }

    std::int64_t clockMs() const { return 1000 + steadyMs() - m_startedMs; }

    Response answer(int status, const char* reason = nullptr) const
    {
        Json body { { "clockMs", clockMs() }, { "born", m_born } };
        if (reason)
            body["reason"] = reason;
        return { status, body.dump(), false };
    }

    Response handle(const Request& request)
    {
        const auto target = request.fields.find("x-target-instance");
        if (target != request.fields.end() && target->second != m_options.id)
            return answer(421);
        const auto body = Json::parse(request.body);
        std::unique_lock lock { m_mutex };
        const auto token = body.value("fencingToken", std::uint64_t { 0 });
        if (token < m_token)
            return answer(409, "fence");
        m_token = token;
        if (const auto it = body.find("deadlineMs"); it != body.end())
            m_leaseEndMs = std::max(m_leaseEndMs, std::min(it->get<std::int64_t>(), clockMs() + m_options.maxHoldMs));
        if (request.path == "/v1/run-start")
            return start(body);
        if (request.path == "/v1/run-stop")
            return stop(body);
        if (request.path == "/v1/hold")
            return hold(body, lock);
        return answer(404);
    }

    void note(const std::string& event, const std::string& task, std::uint64_t number, const std::string& rest = {})
    {
        record(event + " " + m_options.name + " " + task + " run=" + std::to_string(number)
            + " born=" + std::to_string(m_born) + rest);
    }

    Response start(const Json& body)
    {
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<std::uint64_t>();
        const auto known = m_runs.find(task);
        if (known != m_runs.end() && known->second.number == number)
            return answer(200);
        if (known != m_runs.end() || number <= m_highest[task])
            return answer(409, "old");
        if (clockMs() >= m_leaseEndMs)
            return answer(409, "late");
        Run run;
        run.number = number;
        run.startedMs = steadyMs();
        const auto spec = body.value("spec", std::string {});
        run.workMs = std::stoll(spec.substr(spec.find('=') + 1));
        run.lasts = spec.find("lasts") != std::string::npos;
        run.saves = spec.find("saves") != std::string::npos;
        run.crashes = spec.find("crashes") != std::string::npos;
        run.checkpoint = body.value("lastCheckpoint", std::string {});
        if (!run.checkpoint.empty())
            run.resumedMs = std::stoll(run.checkpoint, nullptr, 16);
        m_runs[task] = run;
        note("start", task, number, " resumed=" + std::to_string(run.resumedMs));
        return answer(200);
    }

    Response stop(const Json& body)
    {
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<std::uint64_t>();
        const auto known = m_runs.find(task);
        if (known == m_runs.end())
            m_highest[task] = std::max(m_highest[task], number);
        else if (known->second.number <= number && known->second.stopsMs == 0) {
            known->second.stopsMs = steadyMs() + m_options.stopMs;
            if (known->second.saves)
                save(known->second);
        }
        return answer(200);
    }

    Response hold(const Json& body, std::unique_lock<std::mutex>& lock)
    {
        const auto seen = body.value("lastSeen", std::uint64_t { 0 });
        while (!m_ends.empty() && m_ends.front().at(0).get<std::uint64_t>() <= seen) {
            record("noted " + m_options.name + " " + m_ends.front().dump());
            m_ends.pop_front();
        }
        const auto until = steadyMs() + body.value("waitMs", std::int64_t { 0 });
        while (m_ends.empty() && steadyMs() < until) {
            lock.unlock();
            sleepMs(5);
            lock.lock();
        }
        Json running = Json::array();
        for (const auto& [task, run] : m_runs) {
            const auto percent = run.lasts ? 100 : 100 * doneMs(run) / run.workMs;
            running.push_back({ task, run.number, run.checkpoint, percent });
        }
        Json ended = Json::array();
        for (std::size_t i = 0; i < std::min<std::size_t>(500, m_ends.size()); ++i)
            ended.push_back(m_ends[i]);
        return { 200,
            Json { { "clockMs", clockMs() }, { "born", m_born }, { "running", running }, { "ended", ended } }.dump(),
            false };
    }

    void tick()
    {
        const auto now = steadyMs();
        const bool hasLapsed = clockMs() >= m_leaseEndMs;
        for (auto it = m_runs.begin(); it != m_runs.end();) {
            auto& run = it->second;
            if (run.crashes && now >= run.startedMs + run.workMs) {
                record("crash " + m_options.name + " under " + it->first);
                std::_Exit(1);
            }
            const char* how = nullptr;
            if (run.saves && run.stopsMs == 0 && doneMs(run) / checkpointMs > savedMs(run) / checkpointMs)
                save(run);
            if (hasLapsed)
                how = "lapsed";
            else if (run.stopsMs > 0 && now >= run.stopsMs)
                how = "stopped";
            else if (run.stopsMs == 0 && doneMs(run) >= run.workMs)
                how = run.lasts ? "failed" : "done";
            if (!how) {
                ++it;
                continue;
            }
            note("end", it->first, run.number, std::string { " how=" } + how);
            m_highest[it->first] = std::max(m_highest[it->first], run.number);
            m_ends.push_back(Json { m_nextEnd++, it->first, run.number, how, run.checkpoint });
            it = m_runs.erase(it);
        }
    }

    void ping()
    {
        for (std::uint64_t sequence = 1;; ++sequence) {
            const Json body { { "service", m_options.service }, { "addr", m_options.listen },
                { "zone", m_options.zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" },
                { "coldRemainingMs", 0 },
                { "capacity", { { "cpu", m_options.cpu }, { "memMb", m_options.memMb }, { "gpu", m_options.gpu } } },
                { "labels", m_options.labels }, { "clockMs", clockMs() }, { "born", m_born }, { "seq", sequence } };
            (void)call(m_options.agent, "POST", "/v1/instances/" + m_options.id + "/heartbeat",
                "Host: agent\r\nContent-Type: application/json\r\n", body.dump(), 1000);
            sleepMs(m_options.heartbeatMs);
        }
    }

    ExecutorOptions m_options;
    std::int64_t m_born;
    std::int64_t m_startedMs;
    std::mutex m_mutex;
    std::uint64_t m_token { 0 };
    std::int64_t m_leaseEndMs { 0 };
    std::uint64_t m_nextEnd { 1 };
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint64_t> m_highest;
    std::deque<Json> m_ends;
};

}
