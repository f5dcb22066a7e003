#pragma once

#include "lycheespool/cluster/node_settings.h"
#include "lycheespool/core/boot_clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/core/event_log.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/net/connect.h"
#include "lycheespool/net/keep_running.h"
#include "lycheespool/net/rpc_connection.h"
#include "lycheespool/net/sleep.h"
#include "lycheespool/net/wake_up.h"
#include "lycheespool/net/when_all.h"
#include "lycheespool/nodeagent/executor_control.h"
#include "lycheespool/nodeagent/leader_finder.h"
#include "lycheespool/nodeagent/lease_clock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lycheespool {

/**
 * @brief Agent of the executor on the same VM: reports its state to the leader, executes the leader's orders and
 * extends the executor's lease.
 *
 * Single-threaded. Makes no placement decisions; refuses starts that are based on outdated decisions.
 *
 * @tparam Store Model of RowStore.
 * @tparam Control Model of ExecutorControl.
 */
template <RowStore Store, ExecutorControl Control>
class NodeAgent : public std::enable_shared_from_this<NodeAgent<Store, Control>> {
public:
    /*! @brief Interval between reports when no event triggers one earlier. */
    static constexpr Duration reportInterval = std::chrono::milliseconds { 800 };
    /*! @brief Timeout for connecting to the leader. */
    static constexpr Duration connectTimeout = std::chrono::milliseconds { 400 };
    /*! @brief Timeout for the leader's reply to a report; an unresponsive leader is replaced after 1.5 s. */
    static constexpr Duration reportTimeout = std::chrono::milliseconds { 800 };
    /*! @brief Delay between two attempts to find the leader. */
    static constexpr Duration findRetryDelay = std::chrono::milliseconds { 200 };
    /*! @brief Maximum time that one call to the executor waits for a run to end. */
    static constexpr Duration maxHoldWait = std::chrono::milliseconds { 900 };
    /*! @brief Timeout for an executor's answer, in addition to the requested wait. */
    static constexpr Duration executorTimeout = std::chrono::milliseconds { 700 };
    /*! @brief Delay after a failed call to the executor, or while the leader has not acknowledged its ends. */
    static constexpr Duration holdRetryDelay = std::chrono::milliseconds { 200 };
    /*! @brief Maximum age of a decision that may start a run; cancellations and drains apply within 2 to 3 seconds. */
    static constexpr Duration maxDecisionAge = std::chrono::milliseconds { 2500 };
    /*! @brief Time after which the attempts to execute one order end. */
    static constexpr Duration orderTimeout = std::chrono::milliseconds { 1500 };
    /*! @brief Largest difference between the wall clocks of a VM and its executor. */
    static constexpr std::chrono::hours maxClockDifference { 1 };
    /*! @brief Delay before the first retry of a call; it doubles with each attempt. */
    static constexpr Duration orderRetryDelay = std::chrono::milliseconds { 100 };

    /**
     * @brief Creates an agent.
     * @param executor Asio executor of the agent's thread.
     * @param settings Settings of the process.
     * @param store The store; must outlive the agent.
     * @param control Calls to the executor; must outlive the agent.
     * @param names Names of the rows.
     * @param metrics Metrics registry.
     */
    NodeAgent(const asio::any_io_executor& executor, const NodeSettings& settings, Store& store, Control& control,
        RowNames names, Metrics& metrics)
        : m_executor { executor }
        , m_settings { settings }
        , m_control { control }
        , m_metrics { metrics }
        , m_finder { store, std::move(names), settings.seeds }
        , m_reportDue { executor }
        , m_holdDue { executor }
        , m_leaseClock { settings.bounds.maxLease }
        , m_startLatency { metrics.histogram("executor_start_ms") }
        , m_ordersStarted { metrics.counter("orders_started_total") }
        , m_ordersStopped { metrics.counter("orders_stopped_total") }
        , m_ordersUnresolved { metrics.counter("orders_unresolved_total") }
        , m_reports { metrics.counter("reports_sent_total") }
        , m_reportFailures { metrics.counter("reports_failed_total") }
    {
    }

    /*! @brief Starts the report loop and the lease loop. */
    void start()
    {
        spawn("leader loop", &NodeAgent::leaderLoop);
        spawn("hold loop", &NodeAgent::holdLoop);
    }

    /*! @copydoc LeaderFinder::setSeeds */
    void setSeeds(std::vector<Address> seeds) { m_finder.setSeeds(std::move(seeds)); }

    /**
     * @brief Processes an announcement of the executor; ignores outdated ones.
     *
     * An announcement of another lifetime may come from another writer, or late from a former lifetime. It takes the
     * place of an executor that has answered only when the address answers for another one. The order of the starts is
     * no criterion, since the clock of the VM may have been set back between them.
     * @param announcement The announcement.
     */
    void onAnnouncement(const ExecutorAnnouncement& announcement)
    {
        auto& known = m_executorState;
        // A start in the future would make all later announcements look outdated.
        const auto latestStart = unixMillis() + std::chrono::milliseconds { maxClockDifference }.count();
        if (announcement.lifetime.startedUnixMs > latestStart) {
            logEvent("announcement_implausible",
                { { "executor", announcement.lifetime.executor }, { "born", announcement.lifetime.startedUnixMs } });
            return;
        }
        if (announcement.lifetime == known.lifetime && announcement.sequence <= known.sequence) {
            logEvent("announcement_outdated",
                { { "executor", announcement.lifetime.executor }, { "sequence", announcement.sequence } });
            return;
        }
        const bool isNew = announcement.lifetime != known.lifetime;
        if (isNew && known.state != ExecutorState::departed && m_leaseClock.hasSample()) {
            m_successor = announcement;
            m_successorAt = BootClock {}.now();
            m_holdDue.wake();
            return;
        }
        adopt(announcement);
    }

    /**
     * @brief Records that the executor departs immediately; ignores a departure that was not announced.
     *
     * A departure names no lifetime, so one that arrives late may belong to a former lifetime with the same id. A
     * present executor departs only after it has announced that it drains.
     * @param executor Id of the executor.
     */
    void onDeparture(const std::string& executor)
    {
        if (executor != m_executorState.lifetime.executor || m_executorState.state != ExecutorState::draining) {
            logEvent("departure_ignored",
                { { "executor", executor }, { "known_executor", m_executorState.lifetime.executor },
                    { "state", static_cast<int>(m_executorState.state) } });
            return;
        }
        m_executorState.state = ExecutorState::departed;
        logEvent("executor_departed", { { "executor", executor } });
        m_reportDue.wake();
    }

private:
    void spawn(std::string name, Awaitable<> (NodeAgent::*loop)())
    {
        const auto self = this->shared_from_this();
        asio::co_spawn(
            m_executor, keepRunning(std::move(name), [self, loop] { return ((*self).*loop)(); }), asio::detached);
    }

    /*! @brief Makes an announcement the known state of the executor; a new lifetime starts with empty lists. */
    void adopt(const ExecutorAnnouncement& announcement)
    {
        auto& known = m_executorState;
        const bool isNew = announcement.lifetime != known.lifetime;
        const bool isChanged = isNew || announcement.state != known.state;
        // A lifetime that has never answered may not have existed, so its end is no fact to report.
        if (isNew && m_leaseClock.hasSample() && known.state == ExecutorState::ready) {
            m_previousLifetime = known.lifetime;
            m_previousLostAtMs = m_unreachableAtMs > 0 ? m_unreachableAtMs : clockMs(BootClock {}.now());
        }
        known = announcement;
        m_announcedAt = BootClock {}.now();
        if (isNew) {
            m_successor.reset();
            resetLists();
        }
        if (isChanged) {
            logEvent("executor_announced",
                { { "executor", known.lifetime.executor }, { "born", known.lifetime.startedUnixMs },
                    { "state", static_cast<int>(known.state) }, { "new_lifetime", isNew } });
            m_holdDue.wake();
            m_reportDue.wake();
        }
    }

    /*!
     * @brief Adopts or refuses an announced successor, once a call that was sent after its announcement is answered.
     * @param isKnownSound The executor's address still answers for the known lifetime.
     * @param startedUnixMs Start of the lifetime that answers, ms, if the answer names it.
     * @param sent Time at which the call was sent.
     */
    void resolveSuccessor(bool isKnownSound, std::optional<std::int64_t> startedUnixMs, TimePoint sent)
    {
        if (!m_successor || sent < m_successorAt)
            return;
        const auto successor = *std::exchange(m_successor, std::nullopt);
        const bool isOther = startedUnixMs && *startedUnixMs != successor.lifetime.startedUnixMs;
        if (!isKnownSound && !isOther) {
            adopt(successor);
            return;
        }
        logEvent("announcement_foreign",
            { { "executor", successor.lifetime.executor }, { "service", successor.service },
                { "known_executor", m_executorState.lifetime.executor } });
    }

    /*! @brief Time that is reported to the leader, ms: includes suspensions, and continues across a restart of the VM,
     * which resets the boot clock to 0. */
    [[nodiscard]] std::uint64_t clockMs(TimePoint now) const
    {
        return static_cast<std::uint64_t>(
            m_startUnixMs + std::chrono::duration_cast<std::chrono::milliseconds>(now - m_startedAt).count());
    }

    /*! @brief Minimum time until a draining executor departs, ms; 0 if the executor announced none. */
    [[nodiscard]] std::uint64_t remainingMs(TimePoint now) const
    {
        if (m_executorState.remainingMs == 0)
            return 0;
        const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_announcedAt);
        const auto announced = static_cast<std::int64_t>(m_executorState.remainingMs);
        return static_cast<std::uint64_t>(std::max<std::int64_t>(1, announced - passed.count()));
    }

    void resetLists()
    {
        m_leaseClock.reset();
        m_unreachableAtMs = 0;
        m_running.clear();
        m_ended.clear();
        m_listExtent = ListExtent::partial;
        m_listedAtMs = 0;
        m_endsStored = 0;
        m_endsAcknowledged = 0;
        m_newestEnd = 0;
    }

    // Connection to the leader.

    [[nodiscard]] Awaitable<> leaderLoop()
    {
        while (true) {
            const auto address = co_await m_finder.find();
            if (address)
                co_await serveLeader(*address);
            co_await sleepFor(findRetryDelay);
        }
    }

    [[nodiscard]] Awaitable<> serveLeader(Address address)
    {
        auto socket = co_await connectTo(address, connectTimeout);
        if (!socket)
            co_return;
        const auto connection = std::make_shared<RpcConnection>(std::move(*socket), m_metrics);
        const auto self = this->shared_from_this();
        asio::co_spawn(
            m_executor,
            [self, connection]() -> Awaitable<> {
                RpcConnection::Handler handler
                    = [self](const auto& source, Envelope envelope) { self->onMessage(source, std::move(envelope)); };
                co_await connection->run(std::move(handler));
                self->m_reportDue.wake();
            },
            asio::detached);
        bool isKnown = false;
        unsigned passiveReports = 0;
        while (connection->isOpen()) {
            const auto reply = co_await report(connection);
            if (!reply || !reply->leads)
                break;
            if (!std::exchange(isKnown, true))
                logEvent("leader_found", { { "address", address.toString() }, { "epoch", reply->epoch.value() } });
            // A leader that has lost the store may have been replaced; the lease row names its successor.
            passiveReports = reply->active ? 0 : passiveReports + 1;
            if (passiveReports >= 2) {
                const auto other = co_await m_finder.find();
                if (other && *other != address)
                    break;
            }
            co_await m_reportDue.wait(reportInterval);
        }
        connection->close();
        if (isKnown)
            logEvent("leader_lost", { { "address", address.toString() }, { "epoch", m_epoch.value() } });
    }

    [[nodiscard]] Awaitable<std::optional<NodeReportReply>> report(std::shared_ptr<RpcConnection> connection)
    {
        const auto sent = BootClock {}.now();
        NodeReport report;
        report.node = m_settings.node;
        report.zone = m_executorState.zone.empty() ? m_settings.zone : m_executorState.zone;
        report.state = m_executorState.lifetime.isKnown() ? m_executorState.state : ExecutorState::absent;
        report.lifetime = m_executorState.lifetime;
        report.service = m_executorState.service;
        report.labels = m_executorState.labels;
        report.capacity = m_executorState.capacity;
        report.remainingMs = remainingMs(sent);
        report.sentAtMs = clockMs(sent);
        report.listedAtMs = m_listedAtMs;
        report.running = m_running;
        report.ended = m_ended;
        report.extendsLease = m_leaseClock.isExtending();
        report.previousLifetime = m_previousLifetime;
        report.previousLostAtMs = m_previousLostAtMs;
        report.listExtent = m_listExtent;
        const auto lifetime = report.lifetime;
        m_reports.add();
        std::optional<NodeReportReply> reply;
        try {
            reply = co_await connection->call<NodeReportReply>(std::move(report), reportTimeout);
        } catch (const Error& error) {
            m_reportFailures.add();
            logEvent("report_unanswered", { { "reason", error.what() } });
            co_return std::nullopt;
        }
        if (!reply->leads || reply->epoch < m_epoch)
            co_return reply->leads ? std::nullopt : reply;
        m_epoch = reply->epoch;
        if (lifetime != m_executorState.lifetime)
            co_return reply;
        // A permit holds only for the lifetime that the report names.
        if (reply->permitMs > 0) {
            const bool isFirst = !m_leaseClock.isPermitted(sent);
            m_leaseClock.recordPermit(sent, std::chrono::milliseconds { reply->permitMs });
            if (isFirst)
                m_holdDue.wake();
        }
        acknowledge(reply->endsStored);
        co_return reply;
    }

    void acknowledge(std::uint64_t endsStored)
    {
        if (endsStored <= m_endsStored)
            return;
        m_endsStored = endsStored;
        std::erase_if(m_ended, [&](const auto& it) { return it.number <= endsStored; });
        m_holdDue.wake();
    }

    // Lease of the executor and its lists of runs.

    [[nodiscard]] Awaitable<> holdLoop()
    {
        while (true) {
            if (!m_executorState.lifetime.isKnown() || m_executorState.state == ExecutorState::departed) {
                co_await m_holdDue.wait(reportInterval);
                continue;
            }
            const bool answered = co_await hold();
            // The first permit follows the first answer, and the lease should not wait for the end of a long call.
            if (!answered || !m_ended.empty() || !m_leaseClock.isPermitted(BootClock {}.now()))
                co_await m_holdDue.wait(holdRetryDelay);
        }
    }

    [[nodiscard]] Awaitable<bool> hold()
    {
        const auto sent = BootClock {}.now();
        // A lost answer delays the next call by the wait, and the leader gives the runs up after a few of them.
        const auto wait = m_leaseClock.isExtending() && m_ended.empty()
            ? std::min<Duration>(maxHoldWait, m_settings.bounds.maxLease / 4)
            : Duration {};
        HoldRequest request;
        request.lifetime = m_executorState.lifetime;
        request.epoch = m_epoch.value();
        request.endsSeen = m_endsStored;
        request.leaseEndMs = m_leaseClock.leaseEndMs(sent);
        request.waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
        const auto lifetime = request.lifetime;
        const auto endsSeen = request.endsSeen;
        auto answer = co_await m_control.hold(std::move(request), wait + executorTimeout);
        if (!answer.isVerification)
            recordAcknowledgement(lifetime, endsSeen, answer.answer);
        if (lifetime != m_executorState.lifetime)
            co_return true;
        const auto& result = answer.answer;
        const bool isOther = result.kind == ExecutorAnswerKind::wrongLifetime
            || (result.startedUnixMs && *result.startedUnixMs != lifetime.startedUnixMs);
        if (result.kind != ExecutorAnswerKind::accepted || isOther) {
            if (m_leaseClock.isResponding()) {
                m_leaseClock.setResponding(false);
                m_unreachableAtMs = clockMs(BootClock {}.now());
                m_reportDue.wake();
                logEvent("executor_unreachable",
                    { { "executor", lifetime.executor }, { "kind", static_cast<int>(result.kind) },
                        { "reason", result.reason } });
            }
            if (isOther)
                resolveSuccessor(false, result.startedUnixMs, sent);
            co_return false;
        }
        const bool wasExtending = m_leaseClock.isExtending();
        if (!m_leaseClock.isResponding()) {
            m_leaseClock.setResponding(true);
            m_unreachableAtMs = 0;
            logEvent("executor_reachable_again", { { "executor", lifetime.executor } });
        }
        resolveSuccessor(true, {}, sent);
        if (result.clockMs)
            m_leaseClock.recordSample(*result.clockMs, BootClock {}.now());
        m_running = std::move(answer.running);
        m_ended = std::move(answer.ended);
        m_listExtent = answer.extent;
        std::erase_if(m_ended, [&](const auto& it) { return it.number <= m_endsStored; });
        m_listedAtMs = clockMs(sent);
        if (!wasExtending)
            m_reportDue.wake();
        if (!m_ended.empty() && m_ended.back().number > m_newestEnd)
            m_reportDue.wake();
        m_newestEnd = m_ended.empty() ? m_newestEnd : m_ended.back().number;
        co_return true;
    }

    /*! @brief Logs which ends a call has acknowledged; the executor forgets them for good. */
    void recordAcknowledgement(const Lifetime& lifetime, std::uint64_t endsSeen, const ExecutorAnswer& answer)
    {
        if (lifetime != m_executorState.lifetime || endsSeen <= m_endsAcknowledged)
            return;
        logEvent("ends_acknowledged",
            { { "executor", lifetime.executor }, { "born", lifetime.startedUnixMs },
                { "first", m_endsAcknowledged + 1 }, { "last", endsSeen }, { "kind", static_cast<int>(answer.kind) },
                { "epoch", m_epoch.value() } });
        m_endsAcknowledged = endsSeen;
    }

    // Orders of the leader.

    void onMessage(const std::shared_ptr<RpcConnection>& source, Envelope envelope)
    {
        if (envelope.type != MessageType::nodeOrders)
            return;
        const auto correlation = envelope.correlation;
        const auto self = this->shared_from_this();
        asio::co_spawn(
            m_executor,
            [self, source, correlation, orders = envelope.as<NodeOrders>()]() -> Awaitable<> {
                auto reply = co_await self->executeOrders(orders);
                source->send(reply, correlation);
            },
            asio::detached);
    }

    [[nodiscard]] Awaitable<NodeOrdersReply> executeOrders(NodeOrders orders)
    {
        NodeOrdersReply reply;
        if (orders.epoch < m_epoch) {
            logEvent("orders_of_old_epoch", { { "epoch", orders.epoch.value() }, { "known_epoch", m_epoch.value() } });
            co_return reply;
        }
        m_epoch = orders.epoch;
        if (orders.lifetime == m_executorState.lifetime)
            acknowledge(orders.endsStored);
        std::vector<Awaitable<RunOrderOutcome>> operations;
        operations.reserve(orders.orders.size());
        for (const auto& it : orders.orders)
            operations.push_back(executeOrder(it, orders));
        auto settled = co_await whenAll(std::move(operations));
        for (auto& it : settled) {
            if (!it.error)
                reply.outcomes.push_back(std::move(it.value));
        }
        m_holdDue.wake();
        co_return reply;
    }

    [[nodiscard]] Awaitable<RunOrderOutcome> executeOrder(RunOrder order, NodeOrders batch)
    {
        RunOrderOutcome outcome;
        if (batch.lifetime != m_executorState.lifetime) {
            outcome.result = RunOrderResult::wrongLifetime;
            outcome.mayHaveBegun = !order.isStart;
        } else if (order.isStart) {
            outcome = co_await startRun(order, batch);
        } else {
            outcome = co_await stopRun(order, batch, "ordered");
        }
        outcome.task = order.task;
        outcome.run = order.run;
        outcome.answeredAtMs = clockMs(BootClock {}.now());
        countOutcome(outcome);
        logEvent("order_carried_out",
            { { "task", order.task }, { "run", order.run }, { "start", order.isStart },
                { "result", static_cast<int>(outcome.result) }, { "reason", outcome.reason },
                { "may_have_begun", outcome.mayHaveBegun }, { "epoch", batch.epoch.value() },
                { "executor", batch.lifetime.executor },
                { "decision_age_ms", clockMs(BootClock {}.now()) - batch.basedOnMs } });
        co_return outcome;
    }

    void countOutcome(const RunOrderOutcome& outcome)
    {
        switch (outcome.result) {
        case RunOrderResult::started:
            m_ordersStarted.add();
            break;
        case RunOrderResult::stopped:
            m_ordersStopped.add();
            break;
        default:
            m_ordersUnresolved.add();
        }
    }

    /*! @brief Time for which the decision behind an order may still start a run; negative once it is outdated. */
    [[nodiscard]] Duration remainingDecisionTime(const NodeOrders& batch, TimePoint now) const
    {
        return maxDecisionAge - std::chrono::milliseconds { clockMs(now) - batch.basedOnMs };
    }

    /*! @brief Returns the reason why a start must not be sent, or an empty string if it may be sent. */
    [[nodiscard]] std::string startRejectionReason(const NodeOrders& batch, TimePoint now) const
    {
        if (batch.lifetime != m_executorState.lifetime)
            return "lifetime";
        if (batch.epoch < m_epoch)
            return "epoch";
        if (m_executorState.state != ExecutorState::ready)
            return "draining";
        if (!m_leaseClock.isExtending())
            return "unreachable";
        if (remainingDecisionTime(batch, now) < Duration {} || !m_leaseClock.isPermitted(now))
            return "expired";
        return {};
    }

    [[nodiscard]] Awaitable<RunOrderOutcome> startRun(RunOrder order, NodeOrders batch)
    {
        const auto beginTime = BootClock {}.now();
        auto now = beginTime;
        auto retryDelay = orderRetryDelay;
        std::string rejectionReason = startRejectionReason(batch, now);
        bool mayHaveBegun = false;
        while (rejectionReason.empty() && now - beginTime < orderTimeout) {
            RunStart start { batch.lifetime, batch.epoch.value(), order.task, order.run, order.payload,
                order.checkpoint, m_leaseClock.leaseEndMs(now).value_or(0), now + remainingDecisionTime(batch, now) };
            const auto answer = co_await m_control.start(std::move(start), executorTimeout);
            now = BootClock {}.now();
            if (answer.clockMs && batch.lifetime == m_executorState.lifetime)
                m_leaseClock.recordSample(*answer.clockMs, now);
            if (answer.kind == ExecutorAnswerKind::accepted) {
                m_startLatency.record(std::chrono::duration<double, std::milli> { now - beginTime }.count());
                co_return RunOrderOutcome { {}, 0, RunOrderResult::started, {}, 0 };
            }
            mayHaveBegun = mayHaveBegun || answer.kind == ExecutorAnswerKind::unanswered;
            if (answer.kind == ExecutorAnswerKind::wrongLifetime)
                co_return RunOrderOutcome { {}, 0, RunOrderResult::wrongLifetime, {}, 0, mayHaveBegun };
            if (answer.kind == ExecutorAnswerKind::refused) {
                rejectionReason = "refused: " + answer.reason;
                break;
            }
            if (answer.kind == ExecutorAnswerKind::unavailable)
                co_await sleepFor(std::exchange(retryDelay, 2 * retryDelay));
            rejectionReason = startRejectionReason(batch, now);
        }
        if (rejectionReason.empty())
            rejectionReason = "no answer";
        // The executor may still execute an unanswered start; a stop of the same run prevents that.
        auto outcome = co_await stopRun(order, batch, rejectionReason);
        outcome.mayHaveBegun = mayHaveBegun;
        co_return outcome;
    }

    [[nodiscard]] Awaitable<RunOrderOutcome> stopRun(RunOrder order, NodeOrders batch, std::string reason)
    {
        const auto beginTime = BootClock {}.now();
        auto retryDelay = orderRetryDelay;
        while (BootClock {}.now() - beginTime < orderTimeout) {
            RunStop stop { batch.lifetime, batch.epoch.value(), order.task, order.run };
            const auto answer = co_await m_control.stop(std::move(stop), executorTimeout);
            if (answer.kind == ExecutorAnswerKind::accepted)
                co_return RunOrderOutcome { {}, 0, RunOrderResult::stopped, reason, 0 };
            if (answer.kind == ExecutorAnswerKind::wrongLifetime)
                co_return RunOrderOutcome { {}, 0, RunOrderResult::wrongLifetime, reason, 0 };
            if (answer.kind == ExecutorAnswerKind::refused)
                co_return RunOrderOutcome { {}, 0, RunOrderResult::unresolved, answer.reason, 0 };
            // The leader repeats the order when the executor responds to its agent again.
            if (!m_leaseClock.isResponding())
                break;
            co_await sleepFor(std::exchange(retryDelay, 2 * retryDelay));
        }
        co_return RunOrderOutcome { {}, 0, RunOrderResult::unresolved, reason, 0 };
    }

    asio::any_io_executor m_executor;
    TimePoint m_startedAt { BootClock {}.now() };
    std::int64_t m_startUnixMs { unixMillis() };
    NodeSettings m_settings;
    Control& m_control;
    Metrics& m_metrics;
    LeaderFinder<Store> m_finder;
    WakeUp m_reportDue;
    WakeUp m_holdDue;
    LeaseClock m_leaseClock;
    ExecutorAnnouncement m_executorState;
    TimePoint m_announcedAt {};
    /*! @brief Newest announcement of another lifetime, until the executor's address answers. */
    std::optional<ExecutorAnnouncement> m_successor;
    TimePoint m_successorAt {};
    Lifetime m_previousLifetime;
    std::uint64_t m_previousLostAtMs { 0 };
    /*! @brief When the executor stopped answering, ms; 0 while it answers. */
    std::uint64_t m_unreachableAtMs { 0 };
    Epoch m_epoch;
    std::vector<RunningTask> m_running;
    std::vector<RunEnd> m_ended;
    /*! @brief Extent of the lists as the executor sent them; m_ended omits ends that were stored since. */
    ListExtent m_listExtent { ListExtent::partial };
    std::uint64_t m_listedAtMs { 0 };
    std::uint64_t m_endsStored { 0 };
    /*! @brief Number up to which ends were acknowledged to the present lifetime. */
    std::uint64_t m_endsAcknowledged { 0 };
    std::uint64_t m_newestEnd { 0 };
    LatencyHistogram& m_startLatency;
    Counter& m_ordersStarted;
    Counter& m_ordersStopped;
    Counter& m_ordersUnresolved;
    Counter& m_reports;
    Counter& m_reportFailures;
};

}
