#pragma once

#include "lycheespool/core/metrics.h"
#include "lycheespool/net/outbox.h"
#include "lycheespool/request/admission_limits.h"
#include "lycheespool/request/admission_ticket.h"
#include "lycheespool/request/answers.h"
#include "lycheespool/request/client_request.h"
#include "lycheespool/request/combiner.h"
#include "lycheespool/request/fair_queue.h"
#include "lycheespool/request/service_time_estimate.h"
#include "lycheespool/request/timing.h"

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lycheespool {

/**
 * @brief Admits requests up to the capacity, queues a bounded number, and refuses the rest immediately.
 *
 * A request that finds a free slot costs one atomic operation. Waiting requests enter a fair queue that one thread at
 * a time processes, without a lock. The object must outlive its coroutines.
 *
 * @tparam TimingType Model of Timing.
 */
template <Timing TimingType>
class Admission : public std::enable_shared_from_this<Admission<TimingType>> {
public:
    /*! @brief RAII holder of the slot of an admitted request. */
    using Ticket = AdmissionTicket<Admission>;

    /*! @brief Result of a request for a slot. */
    struct Result {
        /*! @brief Holds a slot if the request may run. */
        Ticket ticket;
        /*! @brief Otherwise the answer for the client. */
        ClientAnswer refusal;
    };

    /**
     * @brief Constructs an admission control.
     * @param capacity Returns the number of slots of all executors in service; called from any thread.
     * @param limits Bounds of the waiting requests.
     * @param metrics Registry for counters.
     * @param timing Clock and timers.
     */
    Admission(std::function<std::uint32_t()> capacity, AdmissionLimits limits, Metrics& metrics, TimingType timing)
        : m_countSlots { std::move(capacity) }
        , m_limits { limits }
        , m_timing { std::move(timing) }
        , m_queued { metrics.counter("requests_queued_total") }
        , m_shed { metrics.counter("requests_shed_total") }
    {
    }

    /**
     * @brief Acquires a slot; waits for one if it is expected in time.
     * @param workspace Workspace of the request.
     * @param priority Its priority.
     * @param deadline Time by which its answer is due.
     * @return A ticket, or a refusal, immediately or after at most half of the time to the deadline.
     */
    [[nodiscard]] Awaitable<Result> acquire(WorkspaceId workspace, RequestPriority priority, TimePoint deadline)
    {
        Result result;
        if (m_waiting.load() == 0 && tryTakeSlot()) {
            result.ticket = Ticket { this->shared_from_this() };
            co_return result;
        }
        const auto executor = co_await asio::this_coro::executor;
        const auto waiter = std::make_shared<Waiter>(m_timing, executor);
        waiter->workspace = std::move(workspace);
        waiter->priority = priority;
        // The other half of the time is left for the run itself, or for a client that retries elsewhere.
        waiter->latestStart = now() + (deadline - now()) / 2;
        m_waiting.fetch_add(1);
        (void)m_incoming.push(waiter);
        processQueue();
        co_await waitFor(*waiter);
        const auto state = waiter->state.load();
        if (state == State::granted)
            result.ticket = Ticket { this->shared_from_this() };
        else if (state == State::refused)
            result.refusal = std::move(waiter->refusal);
        else
            result.refusal = overloaded("the request cannot start before its deadline");
        co_return result;
    }

    /**
     * @brief Refuses all waiting and future requests; must be called before the contexts of the waiting ones end.
     */
    void close()
    {
        m_closed.store(true);
        processQueue();
    }

    /**
     * @brief Releases a slot; called by the ticket.
     * @param held Time for which the slot was held.
     */
    void release(Duration held)
    {
        m_estimate.record(held);
        m_running.fetch_sub(1);
        if (m_waiting.load() > 0 && !m_closed.load())
            processQueue();
    }

    /**
     * @brief Reads the clock.
     * @return The current time.
     */
    [[nodiscard]] TimePoint now() const { return m_timing.now(); }

    /**
     * @brief Counts the waiting requests.
     * @return Number of requests.
     */
    [[nodiscard]] std::size_t waiting() const { return m_waiting.load(); }

private:
    static constexpr unsigned tooManyRequests = 429;
    static constexpr unsigned serviceUnavailable = 503;
    // Counting the slots visits every executor; the number changes only when an executor joins or departs.
    static constexpr Duration capacityRefresh = std::chrono::milliseconds { 10 };
    // Longest time until a waiting request notices that no executor is left in service.
    static constexpr Duration recheckInterval = std::chrono::milliseconds { 100 };
    static constexpr Duration noExecutorRetryAfter = std::chrono::seconds { 1 };

    enum class State { waiting, granted, refused, abandoned };

    struct Waiter : std::enable_shared_from_this<Waiter> {
        Waiter(TimingType& timing, const asio::any_io_executor& callerExecutor)
            : executor { asio::prefer(callerExecutor, asio::execution::outstanding_work.tracked) }
            , timer { timing, callerExecutor }
        {
        }
        WorkspaceId workspace;
        RequestPriority priority { RequestPriority::normal };
        TimePoint latestStart;
        /*! @brief Keeps the context running until another thread has posted the result and no longer uses the timer. */
        asio::any_io_executor executor;
        typename TimingType::Timer timer;
        /*! @brief Written by the processing thread before the state becomes refused. */
        ClientAnswer refusal;
        std::atomic<State> state { State::waiting };
    };
    using WaiterPtr = std::shared_ptr<Waiter>;

    [[nodiscard]] Awaitable<> waitFor(Waiter& waiter)
    {
        while (waiter.state.load() == State::waiting) {
            const auto left = waiter.latestStart - now();
            if (left <= Duration::zero()) {
                abandon(waiter);
                co_return;
            }
            if (co_await waiter.timer.wait(std::min(left, recheckInterval)))
                processQueue();
        }
    }

    void abandon(Waiter& waiter)
    {
        auto expected = State::waiting;
        if (!waiter.state.compare_exchange_strong(expected, State::abandoned))
            return;
        m_waiting.fetch_sub(1);
        m_shed.add();
    }

    [[nodiscard]] bool tryTakeSlot()
    {
        const auto slots = capacity();
        auto running = m_running.load();
        while (running < slots) {
            if (m_running.compare_exchange_weak(running, running + 1))
                return true;
        }
        return false;
    }

    [[nodiscard]] std::uint32_t capacity()
    {
        if (m_closed.load())
            return 0;
        const auto ticks = now().time_since_epoch().count();
        const auto slots = m_slots.load();
        if (slots > 0 && ticks < m_slotsUntil.load())
            return slots;
        m_slotsUntil.store(ticks + Duration { capacityRefresh }.count());
        m_slots.store(m_countSlots());
        return m_slots.load();
    }

    void processQueue()
    {
        m_combiner.run([this] { processQueueOnce(); });
    }

    /*! @brief Queues or refuses new arrivals, and grants free slots; runs on one thread at a time. */
    void processQueueOnce()
    {
        m_arrivals.clear();
        m_incoming.drain(m_arrivals);
        for (auto& it : m_arrivals)
            queueOrRefuse(it);
        m_arrivals.clear();
        while (m_queue.size() > 0 && tryTakeSlot()) {
            const auto waiter = *m_queue.pop();
            if (!resolve(*waiter, State::granted))
                m_running.fetch_sub(1);
        }
        if (m_queue.size() > 0 && capacity() == 0)
            refuseAll();
    }

    void queueOrRefuse(const WaiterPtr& waiter)
    {
        if (m_queue.size() >= m_limits.total
            || m_queue.sizeOf(waiter->workspace, waiter->priority) >= m_limits.perClass)
            m_queue.removeIf([](const auto& it) { return it->state.load() != State::waiting; });
        const auto ahead = m_queue.countAhead(waiter->workspace, waiter->priority);
        if (capacity() == 0)
            refuse(*waiter, notRunAnswer(serviceUnavailable, "no executor is in service", noExecutorRetryAfter));
        else if (m_queue.size() >= m_limits.total)
            refuse(*waiter, overloaded("too many requests are waiting"));
        else if (m_queue.sizeOf(waiter->workspace, waiter->priority) >= m_limits.perClass)
            refuse(*waiter, workspaceQueueFull());
        else if (now() + m_estimate.timeToStart(ahead, capacity()) >= waiter->latestStart)
            refuse(*waiter, overloaded("the request cannot start before its deadline"));
        else {
            m_queued.add();
            m_queue.push(waiter->workspace, waiter->priority, waiter);
        }
    }

    void refuseAll()
    {
        while (const auto waiter = m_queue.pop())
            refuse(**waiter, notRunAnswer(serviceUnavailable, "no executor is in service", noExecutorRetryAfter));
    }

    void refuse(Waiter& waiter, ClientAnswer answer)
    {
        waiter.refusal = std::move(answer);
        if (resolve(waiter, State::refused))
            m_shed.add();
    }

    /*! @brief Returns false if the waiter was abandoned meanwhile. */
    bool resolve(Waiter& waiter, State state)
    {
        auto expected = State::waiting;
        if (!waiter.state.compare_exchange_strong(expected, state))
            return false;
        m_waiting.fetch_sub(1);
        // The timer belongs to the waiter's thread.
        asio::post(waiter.executor, [self = waiter.shared_from_this()] { self->timer.cancel(); });
        return true;
    }

    [[nodiscard]] ClientAnswer overloaded(std::string reason)
    {
        return notRunAnswer(serviceUnavailable, std::move(reason), m_estimate.retryAfter(m_waiting.load(), capacity()));
    }

    [[nodiscard]] ClientAnswer workspaceQueueFull()
    {
        return notRunAnswer(tooManyRequests, "too many requests of this workspace and priority are waiting",
            m_estimate.retryAfter(m_waiting.load(), capacity()));
    }

    std::function<std::uint32_t()> m_countSlots;
    AdmissionLimits m_limits;
    TimingType m_timing;
    ServiceTimeEstimate m_estimate;
    std::atomic<bool> m_closed { false };
    std::atomic<std::uint32_t> m_running { 0 };
    std::atomic<std::size_t> m_waiting { 0 };
    std::atomic<std::uint32_t> m_slots { 0 };
    std::atomic<TimePoint::rep> m_slotsUntil { 0 };
    Outbox<WaiterPtr> m_incoming;
    Combiner m_combiner;
    /*! @brief Used only inside processQueueOnce(). */
    std::vector<WaiterPtr> m_arrivals;
    /*! @brief Used only inside processQueueOnce(). */
    FairQueue<WaiterPtr> m_queue;
    Counter& m_queued;
    Counter& m_shed;
};

}
