#include "soak/executor_emulator.h"

#include "soak/emulator_faults.h"
#include "soak/soak_bounds.h"

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
constexpr Duration heartbeatInterval = 300ms;
constexpr Duration heartbeatTimeout = 1s;
// A draining executor serves this much longer than the drain bound.
constexpr Duration drainMargin = 700ms;
// The executor departs after this time even if the agent does not acknowledge the drain.
constexpr Duration drainAcknowledgementTimeout = 6s;
constexpr std::size_t maxEndsListed = 500;
constexpr int clockOffsetMs = 5000;
constexpr std::int64_t clockStepMs = 60000;
// Announcements follow each other fast, so that one arrives before the executor's own after a restart of the agent.
constexpr Duration otherAnnouncementInterval = 2ms;
constexpr Duration otherAnnouncementTime = 3s;

}

ExecutorEmulator::ExecutorEmulator(
    IoPool& pool, ExecutorLocation location, InvariantChecker& checker, GangRegistry& gangs, std::uint64_t seed)
    : m_pool { pool }
    , m_location { std::move(location) }
    , m_checker { checker }
    , m_gangs { gangs }
    , m_random { seed }
    , m_keepsAcknowledgements { seed % 2 == 1 }
    , m_server { pool, m_location.address, m_metrics,
        [this](HttpRequest request) { return serve(std::move(request)); } }
    , m_agent { m_location.agent }
{
    m_server.start();
    asio::co_spawn(m_pool.context(), tickLoop(), asio::detached);
    asio::co_spawn(m_pool.context(), heartbeatLoop(), asio::detached);
}

void ExecutorEmulator::start(bool keepsId, bool isClockSetBack)
{
    ++m_lifetime;
    if (!keepsId || m_id.empty())
        m_id = fmt::format("i-{:012x}", m_random() >> 16U);
    m_startedUnixMs = isClockSetBack ? m_startedUnixMs - clockStepMs : std::max(m_startedUnixMs + 1, unixMillis());
    m_startedAt = BootClock {}.now();
    m_lastTick = m_startedAt;
    m_sequence = 0;
    m_epoch = 0;
    m_leaseEndMs = 0;
    m_nextEnd = 1;
    m_highestAcknowledged = 0;
    m_highestRuns.clear();
    m_ends.clear();
    m_isUp = true;
    m_checker.onExecutorUp(m_location.name, m_location.zone);
}

void ExecutorEmulator::crash()
{
    for (const auto& [name, run] : m_runs)
        m_gangs.leave(run.identity);
    m_runs.clear();
    m_isUp = false;
    m_isDraining = false;
    m_isDeparting = false;
    m_checker.onExecutorDown(m_location.name);
}

std::int64_t ExecutorEmulator::clockMs() const
{
    const std::chrono::duration<double, std::milli> passed = BootClock {}.now() - m_startedAt;
    return clockOffsetMs + static_cast<std::int64_t>(passed.count() * executorClockRate);
}

HttpResponse ExecutorEmulator::makeResponse(unsigned status, const char* reason) const
{
    nlohmann::json body { { "clockMs", clockMs() }, { "born", m_startedUnixMs } };
    if (reason)
        body["reason"] = reason;
    HttpResponse response;
    response.status = status;
    response.body = body.dump();
    return response;
}

Awaitable<HttpResponse> ExecutorEmulator::serve(HttpRequest request)
{
    if (!m_isUp)
        co_return droppedResponse();
    if (request.path == "/v1/hold") {
        if (request.field("X-Target-Instance") != m_id)
            co_return makeResponse(421);
        auto body = nlohmann::json::parse(request.body);
        co_return co_await hold(std::move(body), m_lifetime);
    }
    if (isAffected(m_random, faults.lateCommands)) {
        asio::co_spawn(m_pool.context(), executeLater(std::move(request), m_lifetime), asio::detached);
        co_await sleepFor(maxLateDelay);
        co_return droppedResponse();
    }
    const auto response = execute(request, false);
    co_return isAffected(m_random, faults.lostResponses) ? droppedResponse() : response;
}

Awaitable<> ExecutorEmulator::executeLater(HttpRequest request, std::uint64_t lifetime)
{
    co_await sleepFor(randomLateDelay(m_random));
    if (m_isUp && m_lifetime == lifetime)
        (void)execute(request, true);
}

HttpResponse ExecutorEmulator::execute(const HttpRequest& request, bool isLate)
{
    if (request.field("X-Target-Instance") != m_id)
        return makeResponse(421);
    const auto body = nlohmann::json::parse(request.body);
    if (request.path == "/v1/run-start")
        return startRun(body, isLate);
    if (request.path == "/v1/run-stop")
        return stopRun(body);
    return makeResponse(404);
}

bool ExecutorEmulator::acceptFencingToken(const nlohmann::json& body)
{
    const auto epoch = body.value("fencingToken", std::uint64_t { 0 });
    if (epoch < m_epoch)
        return false;
    m_epoch = epoch;
    return true;
}

void ExecutorEmulator::extendLease(const nlohmann::json& body)
{
    if (const auto it = body.find("deadlineMs"); it != body.end())
        m_leaseEndMs = std::max(m_leaseEndMs, std::min(it->get<std::int64_t>(), clockMs() + toMs(maxLease)));
}

HttpResponse ExecutorEmulator::startRun(const nlohmann::json& body, bool isLate)
{
    if (faults.isUnhealthy)
        return makeResponse(503);
    if (!acceptFencingToken(body))
        return makeResponse(409, "fence");
    const auto name = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::uint64_t>();
    extendLease(body);
    const auto known = m_runs.find(name);
    if (known != m_runs.end() && known->second.identity.run == number)
        return makeResponse(200);
    if (known != m_runs.end() || number <= m_highestRuns[name])
        return makeResponse(409, "old");
    if (body.at("deadlineMs").get<std::int64_t>() <= clockMs())
        return makeResponse(409, "late");
    const auto task = parseTaskName(name);
    if (!task)
        return makeResponse(400);
    const auto checkpoint = body.value("lastCheckpoint", std::string {});
    Run run;
    run.identity = { m_location.name, *task, number };
    m_checker.onStart(run.identity, body.value("spec", std::string {}), checkpoint, isLate, BootClock {}.now());
    const auto* const job = m_checker.job(task->job);
    if (!job || job->steps.size() <= task->position.step)
        return makeResponse(400);
    const auto& step = job->steps[task->position.step];
    run.amount = step.perTask;
    run.work = step.work;
    run.isGang = step.isGang;
    run.savesCheckpoints = step.savesCheckpoints;
    run.startedAt = BootClock {}.now();
    run.fails = isAffected(m_random, faults.failures);
    run.checkpoint = checkpoint;
    if (!checkpoint.empty()) {
        run.done = std::chrono::milliseconds { std::stoll(checkpoint.substr(0, checkpoint.find('-')), nullptr, 16) };
        run.restoring = restoreTime;
    }
    if (run.isGang)
        m_gangs.join(run.identity);
    auto used = run.amount;
    for (const auto& [other, it] : m_runs)
        used += it.amount;
    if (!used.fitsInto(m_location.capacity))
        m_checker.onCapacityExceeded(run.identity);
    m_runs.emplace(name, std::move(run));
    return makeResponse(200);
}

HttpResponse ExecutorEmulator::stopRun(const nlohmann::json& body)
{
    if (!acceptFencingToken(body))
        return makeResponse(409, "fence");
    const auto name = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::uint64_t>();
    const auto known = m_runs.find(name);
    if (known == m_runs.end()) {
        auto& highest = m_highestRuns[name];
        highest = std::max(highest, number);
    } else if (known->second.identity.run <= number) {
        stop(known->second);
    }
    return makeResponse(200);
}

void ExecutorEmulator::stop(Run& run)
{
    if (run.phase == Phase::stopping)
        return;
    run.phase = Phase::stopping;
    run.stopsAt = BootClock {}.now() + stopTime / 2;
}

nlohmann::json ExecutorEmulator::runReport() const
{
    nlohmann::json running = nlohmann::json::array();
    for (const auto& [name, run] : m_runs)
        running.push_back(
            { name, run.identity.run, run.checkpoint, run.work > Duration {} ? 100 * run.done / run.work : 0 });
    nlohmann::json ended = nlohmann::json::array();
    for (std::size_t i = 0; i < std::min(m_ends.size(), maxEndsListed); ++i) {
        const auto& it = m_ends[i];
        ended.push_back({ it.number, it.identity.task.toString(), it.identity.run, it.endReason, it.checkpoint });
    }
    return { { "clockMs", clockMs() }, { "born", m_startedUnixMs }, { "running", running }, { "ended", ended } };
}

Awaitable<HttpResponse> ExecutorEmulator::hold(nlohmann::json body, std::uint64_t lifetime)
{
    if (!acceptFencingToken(body))
        co_return makeResponse(409, "fence");
    extendLease(body);
    const auto acknowledged = body.value("lastSeen", std::uint64_t { 0 });
    m_highestAcknowledged = std::max(m_highestAcknowledged, acknowledged);
    forgetEnds(m_keepsAcknowledgements ? m_highestAcknowledged : acknowledged);
    const auto until = BootClock {}.now() + std::chrono::milliseconds { body.value("waitMs", std::int64_t { 0 }) };
    while (m_isUp && m_lifetime == lifetime && m_ends.empty() && BootClock {}.now() < until)
        co_await sleepFor(tickInterval);
    if (!m_isUp || m_lifetime != lifetime || isAffected(m_random, faults.lostResponses))
        co_return droppedResponse();
    HttpResponse response;
    response.body = runReport().dump();
    co_return response;
}

void ExecutorEmulator::saveCheckpoint(Run& run)
{
    if (!run.savesCheckpoints || run.done <= Duration {})
        return;
    run.checkpoint = fmt::format("{:08x}-{}", toMs(run.done), run.identity.task.job);
    // A later run may use any checkpoint that was reported, whether this run ends or not.
    m_checker.onCheckpoint(run.identity.task, run.checkpoint);
}

void ExecutorEmulator::end(const Run& run, const std::string& endReason)
{
    m_checker.onEnd(run.identity, endReason);
    auto& highest = m_highestRuns[run.identity.task.toString()];
    highest = std::max(highest, run.identity.run);
    m_ends.push_back({ m_nextEnd++, run.identity, endReason, run.checkpoint });
    if (m_keepsAcknowledgements)
        forgetEnds(m_highestAcknowledged);
    if (run.isGang) {
        m_gangs.leave(run.identity);
        m_gangs.end(run.identity, endReason);
    }
}

void ExecutorEmulator::forgetEnds(std::uint64_t acknowledged)
{
    while (!m_ends.empty() && m_ends.front().number <= acknowledged) {
        m_checker.onEndAcknowledged(m_ends.front().identity, m_ends.front().endReason);
        m_ends.pop_front();
    }
}

void ExecutorEmulator::advance(Run& run, Duration passed)
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

void ExecutorEmulator::tick()
{
    const auto now = BootClock {}.now();
    const auto passed = now - std::exchange(m_lastTick, now);
    const bool hasLeaseExpired = clockMs() > m_leaseEndMs;
    std::vector<std::pair<std::string, std::string>> ended;
    for (auto& [name, run] : m_runs) {
        const auto* const job = m_checker.job(run.identity.task.job);
        const auto members = job ? job->steps[run.identity.task.position.step].tasks : 1;
        const auto gangEnd = run.isGang ? m_gangs.endOf(run.identity) : std::string {};
        const bool isComplete = !run.isGang || m_gangs.memberCount(run.identity) >= members || gangEnd == "done";
        if (hasLeaseExpired) {
            ended.emplace_back(name, "lapsed");
        } else if (run.phase == Phase::stopping) {
            if (now >= run.stopsAt) {
                saveCheckpoint(run);
                ended.emplace_back(name, "stopped");
            }
        } else if (!gangEnd.empty() && gangEnd != "done") {
            ended.emplace_back(name, "broken");
        } else if (!isComplete) {
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
    for (const auto& [name, endReason] : ended) {
        end(m_runs.at(name), endReason);
        m_runs.erase(name);
    }
}

Awaitable<> ExecutorEmulator::tickLoop()
{
    while (true) {
        co_await sleepFor(tickInterval);
        if (m_isUp)
            tick();
    }
}

Awaitable<> ExecutorEmulator::depart()
{
    const auto lifetime = m_lifetime;
    co_await sleepFor(drainBound + drainMargin);
    if (!m_isUp || m_lifetime != lifetime)
        co_return;
    const auto id = m_id;
    crash();
    // The executor has departed whether or not the agent receives the request.
    (void)co_await post(id, "deregister", "{}", heartbeatTimeout);
}

Awaitable<bool> ExecutorEmulator::post(std::string id, std::string call, std::string body, Duration timeout)
{
    HttpRequest request;
    request.method = "POST";
    request.path = fmt::format("/v1/instances/{}/{}", id, call);
    request.body = std::move(body);
    try {
        const auto response = co_await m_agent.send(std::move(request), timeout);
        co_return response.status == 200;
    } catch (const Error&) {
        co_return false;
    }
}

nlohmann::json ExecutorEmulator::announcement() const
{
    nlohmann::json body { { "service", "service-a" }, { "addr", m_location.address.toString() },
        { "zone", m_location.zone }, { "version", "v1" }, { "slots", 8 },
        { "state", m_isDraining ? "draining" : "ready" }, { "coldRemainingMs", 0 }, { "clockMs", clockMs() },
        { "seq", m_sequence }, { "born", m_startedUnixMs }, { "labels", { "kind-a", m_location.rack } },
        { "capacity",
            { { "cpu", m_location.capacity.milliCores }, { "memMb", m_location.capacity.memoryMiB },
                { "gpu", m_location.capacity.accelerators } } } };
    if (m_isDraining)
        body["remainingMs"] = toMs(drainBound);
    return body;
}

Awaitable<> ExecutorEmulator::announceOther(OtherLifetime kind)
{
    auto body = announcement();
    const bool isLater = kind == OtherLifetime::newer || kind == OtherLifetime::ofOtherService;
    body["born"] = m_startedUnixMs + (isLater ? 1 : -clockStepMs);
    body["state"] = "ready";
    if (kind == OtherLifetime::ofOtherService)
        body["service"] = "service-of-others";
    const auto id = kind == OtherLifetime::formerOfSameId ? m_id : "i-other" + m_id;
    const auto until = BootClock {}.now() + otherAnnouncementTime;
    while (BootClock {}.now() < until) {
        if (co_await post(id, "heartbeat", body.dump(), heartbeatTimeout))
            co_return;
        co_await sleepFor(otherAnnouncementInterval);
    }
}

Awaitable<> ExecutorEmulator::departLate()
{
    if (m_isUp && !m_isDraining)
        (void)co_await post(m_id, "deregister", "{}", heartbeatTimeout);
}

Awaitable<> ExecutorEmulator::heartbeatLoop()
{
    TimePoint drainingSince;
    while (true) {
        co_await sleepFor(heartbeatInterval);
        if (!m_isUp)
            continue;
        const bool isDraining = m_isDraining;
        const auto lifetime = m_lifetime;
        ++m_sequence;
        const bool isAcknowledged = co_await post(m_id, "heartbeat", announcement().dump(), heartbeatTimeout);
        if (!isDraining || !m_isUp || m_lifetime != lifetime || m_isDeparting) {
            drainingSince = BootClock {}.now();
            continue;
        }
        if (isAcknowledged)
            m_checker.onDrainAcknowledged(m_location.name, BootClock {}.now());
        if (isAcknowledged || BootClock {}.now() > drainingSince + drainAcknowledgementTimeout) {
            m_isDeparting = true;
            asio::co_spawn(m_pool.context(), depart(), asio::detached);
        }
    }
}

}
