#pragma once

#include "lycheespool/agent/freshness_proof.h"
#include "lycheespool/agent/reservations.h"
#include "lycheespool/agent/worker_settings.h"
#include "lycheespool/core/clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/core/log.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/emulator/worker_api.h"
#include "lycheespool/net/asio.h"
#include "lycheespool/wire/messages.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheespool {

/**
 * @brief The agent's view of its worker's tasks: executes orders, renews leases and reports tasks. Single-threaded.
 * @tparam Worker Model of WorkerApi.
 * @tparam Clock Has `now()`.
 */
template <typename Worker, typename Clock = SteadyClock>
class WorkerTasks {
public:
    static_assert(WorkerApi<Worker>);

    /*! @brief Exchanges an additional heartbeat and passes the reply to received(). */
    using FreshnessRequest = std::function<Awaitable<>()>;

    /*! @brief Duration of a task's lease, counted from the sending of the last answered heartbeat. */
    static constexpr Duration leaseTime = std::chrono::seconds { 30 };
    /*! @brief A worker that has been unresponsive for this time receives no new tasks and no renewals. */
    static constexpr Duration workerTimeout = std::chrono::seconds { 5 };
    /*! @brief Time without response after which all leases on the worker have expired: workerTimeout, leaseTime and 1 s
     * for calls. */
    static constexpr Duration workerLostTimeout = workerTimeout + leaseTime + std::chrono::seconds { 1 };

    /**
     * @brief Creates the state of an agent that has not listed any tasks yet.
     * @param settings Settings of the worker.
     * @param worker The worker; must outlive this object.
     * @param metrics Metrics registry.
     * @param clock Clock of the process.
     */
    WorkerTasks(WorkerSettings settings, Worker& worker, Metrics& metrics, Clock clock = {})
        : m_settings { std::move(settings) }
        , m_worker { worker }
        , m_clock { clock }
        , m_ordersRefused { metrics.counter("agent_orders_refused_total") }
        , m_workerFailures { metrics.counter("agent_worker_failures_total") }
        , m_lastReply { m_clock.now() }
        , m_lastListed { m_clock.now() }
    {
    }

    /**
     * @brief Sets the function that requests a fresh proof before a start.
     * @param request Called if the proof is too old or of a lower revision than the order; may be empty.
     */
    void setFreshnessRequest(FreshnessRequest request) { m_freshnessRequest = std::move(request); }

    /**
     * @brief Executes an order.
     * @param order The order.
     * @return Accepted, or refused with the reason; never throws Error.
     */
    [[nodiscard]] Awaitable<OrderReply> execute(Order order);

    /**
     * @brief Processes the reply to a heartbeat.
     * @param reply The reply.
     * @param sent Time at which the heartbeat was sent.
     */
    void received(const HeartbeatReply& reply, TimePoint sent)
    {
        m_epoch = std::max(m_epoch, reply.epoch);
        m_proof.observe(reply.freshness, sent);
        if (!reply.renewsLeases)
            return;
        m_lastReply = std::max(m_lastReply, sent);
        m_hasReply = true;
    }

    /*! @brief Renews the leases at the worker until leaseTime after the sending of the last answered heartbeat. */
    [[nodiscard]] Awaitable<> renewLeases();

    /*! @brief Performs periodic work: lists the worker's tasks, expires reservations, stops tasks without a lease. */
    [[nodiscard]] Awaitable<> tick();

    /**
     * @brief Checkpoints and stops all running tasks and reports them as stopped.
     * @param reason Detail in the reports.
     */
    [[nodiscard]] Awaitable<> stopAll(std::string reason);

    /*! @brief Refuses reservations and starts from now on. */
    void startDrain() { m_draining = true; }

    /**
     * @brief Checks if the agent is draining.
     * @return True after startDrain().
     */
    [[nodiscard]] bool isDraining() const { return m_draining; }

    /**
     * @brief Counts the running tasks.
     * @return Number of tasks.
     */
    [[nodiscard]] std::size_t running() const
    {
        return static_cast<std::size_t>(
            std::ranges::count(m_tasks, TaskState::running, [](const auto& it) { return it.second.state; }));
    }

    /**
     * @brief Checks if reports() includes every task of the worker.
     * @return False before the worker has listed its tasks, and while it is unresponsive but its leases may be valid.
     */
    [[nodiscard]] bool isComplete() const { return m_isListed && (isWorkerResponding() || isWorkerLost()); }

    /**
     * @brief Reports all tasks; includes an ended task until the leader has released or stopped its attempt.
     * @return Reports for a heartbeat.
     */
    [[nodiscard]] std::vector<TaskReport> reports() const;

private:
    using Tasks = std::map<TaskKey, TaskStatus>;

    void check(const Order& order);
    [[nodiscard]] Awaitable<OrderReply> dispatch(const Order& order);
    void reserve(const Order& order);
    [[nodiscard]] Awaitable<> start(const Order& order);
    [[nodiscard]] Awaitable<> startTask(const Order& order, std::uint32_t task);
    [[nodiscard]] Awaitable<> release(const Order& order);
    [[nodiscard]] Awaitable<> stop(const Order& order);
    [[nodiscard]] Awaitable<std::uint64_t> checkpoint(const Order& order);
    [[nodiscard]] Awaitable<> throttle(const Order& order);
    [[nodiscard]] Awaitable<> refresh();
    [[nodiscard]] Awaitable<> stopAbandoned();
    [[nodiscard]] Awaitable<> forget(std::vector<TaskKey> keys);
    [[nodiscard]] Awaitable<> checkpointAndStop(TaskKey key, std::string reason);
    void markWorkerLost();

    [[nodiscard]] bool isWorkerResponding() const { return m_clock.now() - m_lastListed < workerTimeout; }
    [[nodiscard]] bool isWorkerLost() const { return m_clock.now() - m_lastListed >= workerLostTimeout; }
    [[nodiscard]] Resources freeCapacity() const;
    [[nodiscard]] static Resources sizeOf(const Order& order);
    [[nodiscard]] std::vector<TaskKey> keysOf(const Order& order, bool runningOnly) const;

    WorkerSettings m_settings;
    Worker& m_worker;
    Clock m_clock;
    Counter& m_ordersRefused;
    Counter& m_workerFailures;
    FreshnessRequest m_freshnessRequest;
    FreshnessProof m_proof;
    Reservations m_reservations;
    Epoch m_epoch;
    TimePoint m_lastReply;
    TimePoint m_lastListed;
    bool m_hasReply { false };
    bool m_isListed { false };
    bool m_draining { false };
    bool m_renewing { false };
    bool m_ticking { false };
    /*! @brief Tasks at the worker. */
    Tasks m_tasks;
    /*! @brief Tasks that this agent stopped, kept for the reports; the worker no longer lists them. */
    Tasks m_stopped;
    /*! @brief Jobs with an order in progress; calls for the same job must reach the worker sequentially. */
    std::set<JobId> m_busy;
};

template <typename Worker, typename Clock>
Awaitable<OrderReply> WorkerTasks<Worker, Clock>::execute(Order order)
{
    OrderReply reply;
    bool isMarkedBusy = false;
    try {
        check(order);
        if (!m_busy.insert(order.job).second)
            throw Error { ErrorKind::conflict, "another order for this job is in progress", "retry" };
        isMarkedBusy = true;
        reply = co_await dispatch(order);
    } catch (const Error& error) {
        reply.accepted = false;
        reply.reason = error.what();
        m_ordersRefused.add();
    }
    if (isMarkedBusy)
        m_busy.erase(order.job);
    co_return reply;
}

template <typename Worker, typename Clock>
void WorkerTasks<Worker, Clock>::check(const Order& order)
{
    if (order.incarnation != m_settings.incarnation)
        throw Error { ErrorKind::stale, "the order is for another incarnation of this agent",
            "wait for the hello of the new incarnation" };
    if (order.epoch < m_epoch)
        throw Error { ErrorKind::stale, "the order's epoch is lower than the newest known",
            "a newer leader is active" };
    m_epoch = order.epoch;
}

template <typename Worker, typename Clock>
Awaitable<OrderReply> WorkerTasks<Worker, Clock>::dispatch(const Order& order)
{
    OrderReply reply;
    switch (order.kind) {
    case OrderKind::reserve:
        reserve(order);
        break;
    case OrderKind::start:
        co_await start(order);
        break;
    case OrderKind::release:
        co_await release(order);
        break;
    case OrderKind::checkpoint:
        reply.progressMs = co_await checkpoint(order);
        break;
    case OrderKind::throttle:
        co_await throttle(order);
        break;
    case OrderKind::stop:
        co_await stop(order);
        break;
    }
    reply.accepted = true;
    co_return reply;
}

template <typename Worker, typename Clock>
void WorkerTasks<Worker, Clock>::reserve(const Order& order)
{
    if (m_draining)
        throw Error { ErrorKind::unavailable, "the worker is draining", "use another worker" };
    if (!m_isListed || !isWorkerResponding())
        throw Error { ErrorKind::unavailable, "the worker does not respond to its agent", "use another worker" };
    m_reservations.reserve(order.job, order.attempt, sizeOf(order), freeCapacity(), m_clock.now());
}

template <typename Worker, typename Clock>
Awaitable<> WorkerTasks<Worker, Clock>::start(const Order& order)
{
    if (m_draining)
        throw Error { ErrorKind::unavailable, "the worker is draining", "use another worker" };
    const auto known = keysOf(order, true);
    const bool isRepeated = std::ranges::any_of(known, [&](const auto& it) { return it.attempt == order.attempt; });
    if (isRepeated)
        co_return;
    if (m_freshnessRequest && !m_proof.covers(order.revision, m_clock.now()))
        co_await m_freshnessRequest();
    m_proof.requireStartAllowed(m_settings.zone, order.revision, m_clock.now());
    m_reservations.consume(order.job, order.attempt, m_clock.now());
    bool failed = false;
    std::string reason;
    for (const auto task : order.tasks) {
        try {
            co_await startTask(order, task);
        } catch (const Error& error) {
            failed = true;
            reason = error.what();
            break;
        }
    }
    if (!failed)
        co_return;
    m_reservations.abandon(order.job, order.attempt, m_clock.now());
    co_await stopAbandoned();
    throw Error { ErrorKind::unavailable, "the worker did not start the task: " + reason, "use another worker" };
}

template <typename Worker, typename Clock>
Awaitable<> WorkerTasks<Worker, Clock>::startTask(const Order& order, std::uint32_t task)
{
    // The proof is checked again for each task, because the starts of earlier tasks may have taken long.
    m_proof.requireStartAllowed(m_settings.zone, order.revision, m_clock.now());
    TaskStatus status;
    status.key = TaskKey { order.job, order.attempt, task };
    status.size = Resources { order.coresPerTask, order.memoryMiBPerTask, order.acceleratorsPerTask };
    status.progress = std::chrono::milliseconds { order.progressMs };
    status.checkpoint = status.progress;
    TaskStart start;
    start.key = status.key;
    start.size = status.size;
    start.runTime = std::chrono::milliseconds { order.runTimeMs };
    start.lease = m_lastReply + leaseTime - m_clock.now();
    start.progress = status.progress;
    m_tasks.insert_or_assign(status.key, status);
    co_await m_worker.start(start);
}

template <typename Worker, typename Clock>
Awaitable<> WorkerTasks<Worker, Clock>::release(const Order& order)
{
    m_reservations.abandon(order.job, order.attempt, m_clock.now());
    auto keys = keysOf(order, false);
    std::erase_if(keys, [&](const auto& it) {
        const auto task = m_tasks.find(it);
        return task != m_tasks.end() && task->second.state == TaskState::running;
    });
    co_await forget(std::move(keys));
}

template <typename Worker, typename Clock>
Awaitable<> WorkerTasks<Worker, Clock>::stop(const Order& order)
{
    m_reservations.abandon(order.job, order.attempt, m_clock.now());
    // The cached list may be outdated; the reply must not state that a task is stopped while it still runs.
    if (!isWorkerLost())
        co_await refresh();
    auto keys = keysOf(order, false);
    co_await forget(std::move(keys));
}

template <typename Worker, typename Clock>
Awaitable<std::uint64_t> WorkerTasks<Worker, Clock>::checkpoint(const Order& order)
{
    const auto keys = keysOf(order, true);
    if (keys.empty())
        throw Error { ErrorKind::notFound, "the job does not run on this worker", "check the attempt" };
    auto least = Duration::max();
    for (const auto& it : keys) {
        const auto saved = co_await m_worker.checkpoint(it);
        least = std::min(least, saved);
        if (const auto task = m_tasks.find(it); task != m_tasks.end())
            task->second.checkpoint = saved;
    }
    co_return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(least).count());
}

template <typename Worker, typename Clock>
Awaitable<> WorkerTasks<Worker, Clock>::throttle(const Order& order)
{
    const auto keys = keysOf(order, true);
    for (const auto& it : keys)
        co_await m_worker.throttle(it, order.speedPercent);
}

template <typename Worker, typename Clock>
Awaitable<> WorkerTasks<Worker, Clock>::renewLeases()
{
    const auto lease = m_lastReply + leaseTime - m_clock.now();
    // Before an entry has replied and the worker has listed its tasks, a new incarnation would extend leases that the
    // leader considers expired.
    if (!m_hasReply || !m_isListed || m_renewing || lease <= Duration::zero() || !isWorkerResponding())
        co_return;
    m_renewing = true;
    try {
        co_await m_worker.renew(lease);
    } catch (const Error&) {
        m_workerFailures.add();
    }
    m_renewing = false;
}

template <typename Worker, typename Clock>
Awaitable<> WorkerTasks<Worker, Clock>::tick()
{
    if (std::exchange(m_ticking, true))
        co_return;
    m_reservations.expire(m_clock.now());
    try {
        co_await refresh();
        co_await stopAbandoned();
    } catch (const Error&) {
        m_workerFailures.add();
    }
    if (isWorkerLost())
        markWorkerLost();
    if (m_clock.now() - m_lastReply >= leaseTime && running() > 0) {
        std::string reason { "no entry has replied for 30 s" };
        co_await stopAll(std::move(reason));
    }
    m_ticking = false;
}

template <typename Worker, typename Clock>
Awaitable<> WorkerTasks<Worker, Clock>::refresh()
{
    const auto requestedAt = m_clock.now();
    const auto listed = co_await m_worker.list();
    // Two listings may complete out of order; only the one that was requested later is used.
    if (m_isListed && requestedAt < m_lastListed)
        co_return;
    Tasks tasks;
    for (const auto& it : listed)
        tasks.emplace(it.key, it);
    m_tasks = std::move(tasks);
    m_lastListed = requestedAt;
    m_isListed = true;
}

template <typename Worker, typename Clock>
Awaitable<> WorkerTasks<Worker, Clock>::stopAbandoned()
{
    std::vector<TaskKey> keys;
    for (const auto& [key, task] : m_tasks) {
        if (m_reservations.isAbandoned(key.job, key.attempt) && task.state == TaskState::running)
            keys.push_back(key);
    }
    co_await forget(std::move(keys));
}

template <typename Worker, typename Clock>
Awaitable<> WorkerTasks<Worker, Clock>::forget(std::vector<TaskKey> keys)
{
    for (const auto& it : keys) {
        if (m_tasks.contains(it) && !isWorkerLost())
            co_await m_worker.stop(it);
        m_tasks.erase(it);
        m_stopped.erase(it);
    }
}

template <typename Worker, typename Clock>
Awaitable<> WorkerTasks<Worker, Clock>::stopAll(std::string reason)
{
    std::vector<TaskKey> keys;
    for (const auto& [key, task] : m_tasks) {
        if (task.state == TaskState::running)
            keys.push_back(key);
    }
    if (!keys.empty())
        log(LogLevel::warning, "stopping {} tasks: {}", keys.size(), reason);
    for (const auto& it : keys)
        co_await checkpointAndStop(it, reason);
}

template <typename Worker, typename Clock>
Awaitable<> WorkerTasks<Worker, Clock>::checkpointAndStop(TaskKey key, std::string reason)
{
    const auto it = m_tasks.find(key);
    if (it == m_tasks.end())
        co_return;
    auto status = it->second;
    status.state = TaskState::stopped;
    status.detail = std::move(reason);
    try {
        status.checkpoint = co_await m_worker.checkpoint(key);
    } catch (const Error&) {
        m_workerFailures.add();
    }
    try {
        co_await m_worker.stop(key);
        m_tasks.erase(key);
        m_stopped.insert_or_assign(key, status);
    } catch (const Error&) {
        // The task remains listed and the stop is retried; without renewals the expiry of its lease ends it in any
        // case.
        m_workerFailures.add();
    }
}

template <typename Worker, typename Clock>
void WorkerTasks<Worker, Clock>::markWorkerLost()
{
    for (auto& [key, task] : m_tasks) {
        if (task.state != TaskState::running)
            continue;
        task.state = TaskState::stopped;
        task.detail = "the worker does not respond";
    }
}

template <typename Worker, typename Clock>
std::vector<TaskReport> WorkerTasks<Worker, Clock>::reports() const
{
    const auto toMs = [](Duration length) {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(length).count());
    };
    std::vector<TaskReport> reports;
    for (const auto* tasks : { &m_tasks, &m_stopped }) {
        for (const auto& [key, task] : *tasks) {
            TaskReport report { key.job, key.attempt, key.task, std::string { toString(task.state) }, task.detail };
            report.progressMs = toMs(task.progress);
            report.checkpointMs = toMs(task.checkpoint);
            reports.push_back(std::move(report));
        }
    }
    return reports;
}

template <typename Worker, typename Clock>
Resources WorkerTasks<Worker, Clock>::freeCapacity() const
{
    auto free = m_settings.capacity;
    for (const auto& [key, task] : m_tasks) {
        if (task.state != TaskState::running)
            continue;
        if (!task.size.fitsInto(free))
            return {};
        free -= task.size;
    }
    return free;
}

template <typename Worker, typename Clock>
Resources WorkerTasks<Worker, Clock>::sizeOf(const Order& order)
{
    Resources size;
    for (std::size_t i = 0; i < order.tasks.size(); ++i)
        size += Resources { order.coresPerTask, order.memoryMiBPerTask, order.acceleratorsPerTask };
    return size;
}

template <typename Worker, typename Clock>
std::vector<TaskKey> WorkerTasks<Worker, Clock>::keysOf(const Order& order, bool runningOnly) const
{
    std::vector<TaskKey> keys;
    for (const auto* tasks : { &m_tasks, &m_stopped }) {
        for (const auto& [key, task] : *tasks) {
            const bool wanted = !runningOnly || task.state == TaskState::running;
            if (key.job == order.job && key.attempt <= order.attempt && wanted)
                keys.push_back(key);
        }
    }
    return keys;
}

}
