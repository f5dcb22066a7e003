#include "soak/executor_stand_in.h"

#include "soak/soak_bounds.h"
#include "soak/stand_in.h"

#include "lycheespool/core/boot_clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/net/sleep.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace lycheespool::soak {

namespace {

constexpr Duration tickInterval = 10ms;
constexpr Duration announceInterval = 300ms;
constexpr Duration announceTimeout = 1s;
// A draining executor serves a little longer than it must.
constexpr Duration drainExtra = 700ms;
// It leaves anyway when nobody acknowledges that it drains.
constexpr Duration drainPatience = 6s;
constexpr std::size_t maxEndsListed = 500;
constexpr int clockOffsetMs = 5000;

}

ExecutorStandIn::ExecutorStandIn(
    IoPool& pool, ExecutorPlace place, Referee& referee, GangBoard& gangs, std::uint64_t seed)
    : m_pool { pool }
    , m_place { std::move(place) }
    , m_referee { referee }
    , m_gangs { gangs }
    , m_random { seed }
    , m_server { pool, m_place.address, m_metrics, [this](HttpRequest request) { return serve(std::move(request)); } }
    , m_agent { m_place.agent }
{
    m_server.start();
    asio::co_spawn(m_pool.context(), tickLoop(), asio::detached);
    asio::co_spawn(m_pool.context(), announceLoop(), asio::detached);
}

void ExecutorStandIn::start(bool keepsId)
{
    ++m_lifetime;
    if (!keepsId || m_id.empty())
        m_id = fmt::format("i-{:012x}", m_random() >> 16U);
    m_bornUnixMs = std::max(m_bornUnixMs + 1, unixMillis());
    m_born = BootClock {}.now();
    m_lastTick = m_born;
    m_sequence = 0;
    m_epoch = 0;
    m_leaseEndMs = 0;
    m_nextEnd = 1;
    m_highestRuns.clear();
    m_ends.clear();
    m_isUp = true;
    m_referee.onExecutorUp(m_place.name, m_place.zone);
}

void ExecutorStandIn::crash()
{
    for (const auto& [name, run] : m_runs)
        m_gangs.leave(run.seen);
    m_runs.clear();
    m_isUp = false;
    m_isDraining = false;
    m_isLeaving = false;
    m_referee.onExecutorDown(m_place.name);
}

std::int64_t ExecutorStandIn::clockMs() const
{
    const std::chrono::duration<double, std::milli> passed = BootClock {}.now() - m_born;
    return clockOffsetMs + static_cast<std::int64_t>(passed.count() * executorClockRate);
}

HttpResponse ExecutorStandIn::answer(unsigned status, const char* reason) const
{
    nlohmann::json body { { "clockMs", clockMs() }, { "born", m_bornUnixMs } };
    if (reason)
        body["reason"] = reason;
    HttpResponse response;
    response.status = status;
    response.body = body.dump();
    return response;
}

Awaitable<HttpResponse> ExecutorStandIn::serve(HttpRequest request)
{
    if (!m_isUp)
        co_return lostAnswer();
    if (request.path == "/v1/hold") {
        if (request.field("X-Target-Instance") != m_id)
            co_return answer(421);
        auto body = nlohmann::json::parse(request.body);
        co_return co_await hold(std::move(body), m_lifetime);
    }
    if (isHit(m_random, faults.lateOrders)) {
        asio::co_spawn(m_pool.context(), executeLater(std::move(request), m_lifetime), asio::detached);
        co_await sleepFor(longestLateTime);
        co_return lostAnswer();
    }
    const auto response = execute(request, false);
    co_return isHit(m_random, faults.lostAnswers) ? lostAnswer() : response;
}

Awaitable<> ExecutorStandIn::executeLater(HttpRequest request, std::uint64_t lifetime)
{
    co_await sleepFor(drawLateTime(m_random));
    if (m_isUp && m_lifetime == lifetime)
        (void)execute(request, true);
}

HttpResponse ExecutorStandIn::execute(const HttpRequest& request, bool isLate)
{
    if (request.field("X-Target-Instance") != m_id)
        return answer(421);
    const auto body = nlohmann::json::parse(request.body);
    if (request.path == "/v1/run-start")
        return startRun(body, isLate);
    if (request.path == "/v1/run-stop")
        return stopRun(body);
    return answer(404);
}

bool ExecutorStandIn::takeFence(const nlohmann::json& body)
{
    const auto epoch = body.value("fencingToken", std::uint64_t { 0 });
    if (epoch < m_epoch)
        return false;
    m_epoch = epoch;
    return true;
}

void ExecutorStandIn::takeLease(const nlohmann::json& body)
{
    if (const auto it = body.find("deadlineMs"); it != body.end())
        m_leaseEndMs = std::max(m_leaseEndMs, std::min(it->get<std::int64_t>(), clockMs() + toMs(maxLease)));
}

HttpResponse ExecutorStandIn::startRun(const nlohmann::json& body, bool isLate)
{
    if (faults.isUnhealthy)
        return answer(503);
    if (!takeFence(body))
        return answer(409, "fence");
    const auto name = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::uint64_t>();
    takeLease(body);
    const auto known = m_runs.find(name);
    if (known != m_runs.end() && known->second.seen.run == number)
        return answer(200);
    if (known != m_runs.end() || number <= m_highestRuns[name])
        return answer(409, "old");
    if (body.at("deadlineMs").get<std::int64_t>() <= clockMs())
        return answer(409, "late");
    const auto task = parseTaskName(name);
    if (!task)
        return answer(400);
    const auto checkpoint = body.value("lastCheckpoint", std::string {});
    Run run;
    run.seen = { m_place.name, *task, number };
    m_referee.onStart(run.seen, body.value("spec", std::string {}), checkpoint, isLate, BootClock {}.now());
    const auto* const job = m_referee.job(task->job);
    if (!job || job->steps.size() <= task->position.step)
        return answer(400);
    const auto& step = job->steps[task->position.step];
    run.amount = step.perTask;
    run.work = step.work;
    run.isGang = step.isGang;
    run.savesCheckpoints = step.savesCheckpoints;
    run.startedAt = BootClock {}.now();
    run.fails = isHit(m_random, faults.failures);
    run.checkpoint = checkpoint;
    if (!checkpoint.empty()) {
        run.done = std::chrono::milliseconds { std::stoll(checkpoint.substr(0, checkpoint.find('-')), nullptr, 16) };
        run.restoring = restoreTime;
    }
    if (run.isGang)
        m_gangs.join(run.seen);
    auto used = run.amount;
    for (const auto& [other, it] : m_runs)
        used += it.amount;
    if (!used.fitsInto(m_place.capacity))
        m_referee.onOverload(run.seen);
    m_runs.emplace(name, std::move(run));
    return answer(200);
}

HttpResponse ExecutorStandIn::stopRun(const nlohmann::json& body)
{
    if (!takeFence(body))
        return answer(409, "fence");
    const auto name = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::uint64_t>();
    const auto known = m_runs.find(name);
    if (known == m_runs.end()) {
        auto& highest = m_highestRuns[name];
        highest = std::max(highest, number);
    } else if (known->second.seen.run <= number) {
        stop(known->second);
    }
    return answer(200);
}

void ExecutorStandIn::stop(Run& run)
{
    if (run.phase == Phase::stopping)
        return;
    run.phase = Phase::stopping;
    run.stopsAt = BootClock {}.now() + stopTime / 2;
}

nlohmann::json ExecutorStandIn::lists() const
{
    nlohmann::json running = nlohmann::json::array();
    for (const auto& [name, run] : m_runs)
        running.push_back(
            { name, run.seen.run, run.checkpoint, run.work > Duration {} ? 100 * run.done / run.work : 0 });
    nlohmann::json ended = nlohmann::json::array();
    for (std::size_t i = 0; i < std::min(m_ends.size(), maxEndsListed); ++i) {
        const auto& it = m_ends[i];
        ended.push_back({ it.number, it.seen.task.toString(), it.seen.run, it.how, it.checkpoint });
    }
    return { { "clockMs", clockMs() }, { "born", m_bornUnixMs }, { "running", running }, { "ended", ended } };
}

Awaitable<HttpResponse> ExecutorStandIn::hold(nlohmann::json body, std::uint64_t lifetime)
{
    if (!takeFence(body))
        co_return answer(409, "fence");
    takeLease(body);
    const auto seen = body.value("lastSeen", std::uint64_t { 0 });
    while (!m_ends.empty() && m_ends.front().number <= seen) {
        m_referee.onEndNoted(m_ends.front().seen, m_ends.front().how);
        m_ends.pop_front();
    }
    const auto until = BootClock {}.now() + std::chrono::milliseconds { body.value("waitMs", std::int64_t { 0 }) };
    while (m_isUp && m_lifetime == lifetime && m_ends.empty() && BootClock {}.now() < until)
        co_await sleepFor(tickInterval);
    if (!m_isUp || m_lifetime != lifetime || isHit(m_random, faults.lostAnswers))
        co_return lostAnswer();
    HttpResponse response;
    response.body = lists().dump();
    co_return response;
}

void ExecutorStandIn::saveCheckpoint(Run& run)
{
    if (!run.savesCheckpoints || run.done <= Duration {})
        return;
    run.checkpoint = fmt::format("{:08x}-{}", toMs(run.done), run.seen.task.job);
    // Any value that was listed may be used, whether the run ends or not.
    m_referee.onCheckpoint(run.seen.task, run.checkpoint);
}

void ExecutorStandIn::end(const Run& run, const std::string& how)
{
    m_referee.onEnd(run.seen, how);
    auto& highest = m_highestRuns[run.seen.task.toString()];
    highest = std::max(highest, run.seen.run);
    m_ends.push_back({ m_nextEnd++, run.seen, how, run.checkpoint });
    if (run.isGang) {
        m_gangs.leave(run.seen);
        m_gangs.end(run.seen, how);
    }
}

void ExecutorStandIn::advance(Run& run, Duration passed)
{
    if (run.restoring > Duration {}) {
        run.restoring -= passed;
        return;
    }
    const auto before = run.done / checkpointInterval;
    run.done = std::min(run.done + passed, run.work);
    if (run.done / checkpointInterval > before)
        saveCheckpoint(run);
}

void ExecutorStandIn::tick()
{
    const auto now = BootClock {}.now();
    const auto passed = now - std::exchange(m_lastTick, now);
    const bool hasLapsed = clockMs() > m_leaseEndMs;
    std::vector<std::pair<std::string, std::string>> ended;
    for (auto& [name, run] : m_runs) {
        const auto* const job = m_referee.job(run.seen.task.job);
        const auto members = job ? job->steps[run.seen.task.position.step].tasks : 1;
        const auto gangEnd = run.isGang ? m_gangs.endOf(run.seen) : std::string {};
        const bool isWhole = !run.isGang || m_gangs.present(run.seen) >= members || gangEnd == "done";
        if (hasLapsed) {
            ended.emplace_back(name, "lapsed");
        } else if (run.phase == Phase::stopping) {
            if (now >= run.stopsAt) {
                saveCheckpoint(run);
                ended.emplace_back(name, "stopped");
            }
        } else if (!gangEnd.empty() && gangEnd != "done") {
            ended.emplace_back(name, "broken");
        } else if (!isWhole) {
            if (now > run.startedAt + gangAssembly)
                ended.emplace_back(name, "alone");
        } else if (!faults.isUnhealthy) {
            advance(run, passed);
            if (run.fails && run.done * 2 >= run.work)
                ended.emplace_back(name, "failed");
            else if (run.done >= run.work || gangEnd == "done")
                ended.emplace_back(name, "done");
        }
    }
    for (const auto& [name, how] : ended) {
        end(m_runs.at(name), how);
        m_runs.erase(name);
    }
}

Awaitable<> ExecutorStandIn::tickLoop()
{
    while (true) {
        co_await sleepFor(tickInterval);
        if (m_isUp)
            tick();
    }
}

Awaitable<> ExecutorStandIn::leave()
{
    const auto lifetime = m_lifetime;
    co_await sleepFor(drainBound + drainExtra);
    if (!m_isUp || m_lifetime != lifetime)
        co_return;
    const auto id = m_id;
    crash();
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/instances/" + id + "/deregister";
    request.body = "{}";
    try {
        (void)co_await m_agent.send(std::move(request), announceTimeout);
    } catch (const Error&) {
        // The executor is gone whether the agent hears of it or not.
    }
}

Awaitable<> ExecutorStandIn::announceLoop()
{
    TimePoint drainingSince;
    while (true) {
        co_await sleepFor(announceInterval);
        if (!m_isUp)
            continue;
        const bool isDraining = m_isDraining;
        const auto lifetime = m_lifetime;
        nlohmann::json body { { "service", "service-a" }, { "addr", m_place.address.toString() },
            { "zone", m_place.zone }, { "version", "v1" }, { "slots", 8 },
            { "state", isDraining ? "draining" : "ready" }, { "coldRemainingMs", 0 }, { "clockMs", clockMs() },
            { "seq", ++m_sequence }, { "born", m_bornUnixMs }, { "labels", { "kind-a", m_place.rack } },
            { "capacity",
                { { "cpu", m_place.capacity.milliCores }, { "memMb", m_place.capacity.memoryMiB },
                    { "gpu", m_place.capacity.accelerators } } } };
        if (isDraining)
            body["remainingMs"] = toMs(drainBound);
        HttpRequest request;
        request.method = "POST";
        request.path = "/v1/instances/" + m_id + "/heartbeat";
        request.body = body.dump();
        bool isAcknowledged = false;
        try {
            const auto response = co_await m_agent.send(std::move(request), announceTimeout);
            isAcknowledged = response.status == 200;
        } catch (const Error&) {
            // The next announcement follows soon.
        }
        if (!isDraining || !m_isUp || m_lifetime != lifetime || m_isLeaving) {
            drainingSince = BootClock {}.now();
            continue;
        }
        if (isAcknowledged)
            m_referee.onDrainAcknowledged(m_place.name, BootClock {}.now());
        if (isAcknowledged || BootClock {}.now() > drainingSince + drainPatience) {
            m_isLeaving = true;
            asio::co_spawn(m_pool.context(), leave(), asio::detached);
        }
    }
}

}
