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
 * @brief The tasks of one worker as its agent sees them: carries out orders, renews leases, reports. One thread.
 * @tparam Worker Model of WorkerApi.
 * @tparam Clock Has `now()`.
 */
template <typename Worker, typename Clock = SteadyClock>
class WorkerTasks {
public:
    static_assert(WorkerApi<Worker>);

    /*! @brief Makes an extra heartbeat round trip and passes the reply to received(). */
    using FreshnessRequest = std::function<Awaitable<>()>;

    /*! @brief Lease of a task, counted from the sending of a heartbeat that was answered. */
    static constexpr Duration leaseTime = std::chrono::seconds { 30 };
    /*! @brief A worker that answered nothing for this long gets no new tasks and no renewals. */
    static constexpr Duration workerSilence = std::chrono::seconds { 5 };
    /*! @brief After this silence, all leases on the worker have expired: workerSilence, leaseTime and 1 s for calls. */
    static constexpr Duration workerGone = workerSilence + leaseTime + std::chrono::seconds { 1 };

    /**
     * @brief Makes the state of an agent that knows no tasks yet.
     * @param settings Settings of the worker.
     * @param worker The worker; must outlive this object.
     * @param metrics Registry for the counters.
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
     * @brief Sets the way to get a fresh proof before a start.
     * @param request Called when the proof is too old; may be empty.
     */
    void setFreshnessRequest(FreshnessRequest request) { m_freshnessRequest = std::move(request); }

    /**
     * @brief Carries out an order.
     * @param order The order.
     * @return Accepted, or refused with the reason; never throws Error.
     */
    [[nodiscard]] Awaitable<OrderReply> execute(Order order);

    /**
     * @brief Takes the answer to a heartbeat.
     * @param reply The answer.
     * @param sent Time at which the heartbeat was sent.
     */
    void received(const HeartbeatReply& reply, TimePoint sent)
    {
        m_epoch = std::max(m_epoch, reply.epoch);
        m_proof.observe(reply.freshness, sent);
        if (!reply.renewsLeases)
            return;
        m_lastReply = std::max(m_lastReply, sent);
        m_answered = true;
    }

    /*! @brief Renews the leases at the worker up to leaseTime after the last answered heartbeat was sent. */
    [[nodiscard]] Awaitable<> renewLeases();

    /*! @brief Does what is due: lists the worker's tasks, lets reservations lapse, stops tasks without a lease. */
    [[nodiscard]] Awaitable<> tick();

    /**
     * @brief Checkpoints and stops all running tasks and reports them as stopped.
     * @param reason Detail of the reports.
     */
    [[nodiscard]] Awaitable<> stopAll(std::string reason);

    /*! @brief Refuses reservations and starts from now on. */
    void leave() { m_leaving = true; }

    /**
     * @brief Tells whether the agent has been told to leave.
     * @return True after leave().
     */
    [[nodiscard]] bool isDraining() const { return m_leaving; }

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
     * @brief Tells whether reports() lists every task of the worker.
     * @return False before the worker has listed its tasks and while it does not answer.
     */
    [[nodiscard]] bool isComplete() const { return m_listed && (workerAnswers() || workerIsGone()); }

    /**
     * @brief Reports all tasks; an ended one until the leader has released or stopped its attempt.
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
    [[nodiscard]] Awaitable<> stopClosed();
    [[nodiscard]] Awaitable<> forget(std::vector<TaskKey> keys);
    [[nodiscard]] Awaitable<> checkpointAndStop(TaskKey key, std::string reason);
    void markGone();

    [[nodiscard]] bool workerAnswers() const { return m_clock.now() - m_lastListed < workerSilence; }
    [[nodiscard]] bool workerIsGone() const { return m_clock.now() - m_lastListed >= workerGone; }
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
    bool m_answered { false };
    bool m_listed { false };
    bool m_leaving { false };
    bool m_renewing { false };
    bool m_ticking { false };
    /*! @brief Tasks at the worker. */
    Tasks m_tasks;
    /*! @brief Tasks that this agent stopped, kept for the reports; the worker has forgotten them. */
    Tasks m_stopped;
    /*! @brief Jobs with an order under way; calls for one job must reach the worker one after the other. */
    std::set<JobId> m_busy;
};

template <typename Worker, typename Clock>
Awaitable<OrderReply> WorkerTasks<Worker, Clock>::execute(Order order)
{
    OrderReply reply;
    bool entered = false;
    try {
        check(order);
        if (!m_busy.insert(order.job).second)
            throw Error { ErrorKind::conflict, "another order for this job is under way", "retry" };
        entered = true;
        reply = co_await dispatch(order);
    } catch (const Error& error) {
        reply.accepted = false;
        reply.reason = error.what();
        m_ordersRefused.add();
    }
    if (entered)
        m_busy.erase(order.job);
    co_return reply;
}

template <typename Worker, typename Clock>
void WorkerTasks<Worker, Clock>::check(const Order& order)
{
    if (order.incarnation != m_settings.incarnation)
        throw Error { ErrorKind::stale, "the order is for another incarnation of this agent", "wait for its hello" };
    if (order.epoch < m_epoch)
        throw Error { ErrorKind::stale, "the order's epoch is lower than the newest known", "another leader acts" };
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
    if (m_leaving)
        throw Error { ErrorKind::unavailable, "the worker is leaving", "use another worker" };
    if (!m_listed || !workerAnswers())
        throw Error { ErrorKind::unavailable, "the worker does not answer its agent", "use another worker" };
    m_reservations.reserve(order.job, order.attempt, sizeOf(order), freeCapacity(), m_clock.now());
}

template <typename Worker, typename Clock>
Awaitable<> WorkerTasks<Worker, Clock>::start(const Order& order)
{
    if (m_leaving)
        throw Error { ErrorKind::unavailable, "the worker is leaving", "use another worker" };
    const auto known = keysOf(order, true);
    const bool repeated = std::ranges::any_of(known, [&](const auto& it) { return it.attempt == order.attempt; });
    if (repeated)
        co_return;
    if (m_freshnessRequest && !m_proof.covers(order.revision, m_clock.now()))
        co_await m_freshnessRequest();
    m_proof.requireStart(m_settings.zone, order.revision, m_clock.now());
    m_reservations.use(order.job, order.attempt, m_clock.now());
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
    m_reservations.close(order.job, order.attempt, m_clock.now());
    co_await stopClosed();
    throw Error { ErrorKind::unavailable, "the worker did not start the task: " + reason, "use another worker" };
}

template <typename Worker, typename Clock>
Awaitable<> WorkerTasks<Worker, Clock>::startTask(const Order& order, std::uint32_t task)
{
    // Each start needs a proof of its own, because starts of earlier tasks may have taken long.
    m_proof.requireStart(m_settings.zone, order.revision, m_clock.now());
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
    m_reservations.close(order.job, order.attempt, m_clock.now());
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
    m_reservations.close(order.job, order.attempt, m_clock.now());
    // The cache may lag behind the worker; the answer must not claim that a task was stopped that still runs.
    if (!workerIsGone())
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
    // Before an entry has answered and the worker has listed its tasks, a new incarnation would prolong leases that the
    // leader counts as expired.
    if (!m_answered || !m_listed || m_renewing || lease <= Duration::zero() || !workerAnswers())
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
        co_await stopClosed();
    } catch (const Error&) {
        m_workerFailures.add();
    }
    if (workerIsGone())
        markGone();
    if (m_clock.now() - m_lastReply >= leaseTime && running() > 0) {
        std::string reason { "no entry answered for 30 s" };
        co_await stopAll(std::move(reason));
    }
    m_ticking = false;
}

template <typename Worker, typename Clock>
Awaitable<> WorkerTasks<Worker, Clock>::refresh()
{
    const auto asked = m_clock.now();
    const auto listed = co_await m_worker.list();
    // Two listings may overtake each other; only the one that was asked for later counts.
    if (m_listed && asked < m_lastListed)
        co_return;
    Tasks tasks;
    for (const auto& it : listed)
        tasks.emplace(it.key, it);
    m_tasks = std::move(tasks);
    m_lastListed = asked;
    m_listed = true;
}

template <typename Worker, typename Clock>
Awaitable<> WorkerTasks<Worker, Clock>::stopClosed()
{
    std::vector<TaskKey> keys;
    for (const auto& [key, task] : m_tasks) {
        if (m_reservations.isClosed(key.job, key.attempt) && task.state == TaskState::running)
            keys.push_back(key);
    }
    co_await forget(std::move(keys));
}

template <typename Worker, typename Clock>
Awaitable<> WorkerTasks<Worker, Clock>::forget(std::vector<TaskKey> keys)
{
    for (const auto& it : keys) {
        if (m_tasks.contains(it) && !workerIsGone())
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
        // The task stays listed and is tried again; without renewals its lease ends it in any case.
        m_workerFailures.add();
    }
}

template <typename Worker, typename Clock>
void WorkerTasks<Worker, Clock>::markGone()
{
    for (auto& [key, task] : m_tasks) {
        if (task.state != TaskState::running)
            continue;
        task.state = TaskState::stopped;
        task.detail = "the worker does not answer";
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
