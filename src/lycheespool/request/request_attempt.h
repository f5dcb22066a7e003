#pragma once

#include "lycheespool/request/answers.h"
#include "lycheespool/request/timing.h"

#include <algorithm>
#include <utility>

namespace lycheespool {

/**
 * @brief One attempt at a non-idempotent request: returns exactly one answer by the deadline.
 *
 * The work and the waiting client are two coroutines on the same executor, which one thread at a time runs, because
 * operations of the table cannot be cancelled and may outlast the deadline.
 *
 * @tparam TimingType Model of Timing.
 */
template <Timing TimingType>
class RequestAttempt {
public:
    /**
     * @brief Constructs an attempt.
     * @param timing Clock and timers.
     * @param executor Executor of both coroutines.
     * @param deadline Time by which the client must have its answer.
     */
    RequestAttempt(TimingType timing, const asio::any_io_executor& executor, TimePoint deadline)
        : m_timing { std::move(timing) }
        , m_timer { m_timing, executor }
        , m_deadline { deadline }
    {
    }

    /**
     * @brief Records that the request is about to be sent to an executor, if that is still allowed.
     * @return False if the deadline has passed or the client was answered; the request must not be sent then.
     */
    [[nodiscard]] bool begin()
    {
        if (m_phase != Phase::open || m_timing.now() >= m_deadline)
            return false;
        m_phase = Phase::sent;
        return true;
    }

    /*! @brief Records that the request that was sent is proved not to have run. */
    void reopen()
    {
        if (m_phase == Phase::sent)
            m_phase = Phase::open;
    }

    /**
     * @brief Sets the final answer and ends the wait; the first answer counts.
     * @param answer The answer.
     */
    void finish(ClientAnswer answer) { offer(std::move(answer), Duration::zero()); }

    /**
     * @brief Sets the final answer, which the client receives at finish() or after a delay; the first answer counts.
     * @param answer The answer.
     * @param delay Longest delay; finish() cuts it short.
     */
    void offer(ClientAnswer answer, Duration delay)
    {
        if (m_phase == Phase::answered)
            return;
        if (m_phase != Phase::offered)
            m_answer = std::move(answer);
        m_phase = Phase::offered;
        m_deadline = std::min(m_deadline, m_timing.now() + delay);
        m_timer.cancel();
    }

    /**
     * @brief Waits for the answer.
     * @return The answer that was set, or the answer for the current phase if the deadline passes first.
     */
    [[nodiscard]] Awaitable<ClientAnswer> wait()
    {
        for (auto left = timeLeft(); left > Duration::zero(); left = timeLeft())
            (void)co_await m_timer.wait(left);
        if (m_phase == Phase::open)
            m_answer = notRunAnswer(
                serviceUnavailable, "the deadline passed before the request was sent", std::chrono::seconds { 1 });
        else if (m_phase == Phase::sent)
            m_answer = unknownAnswer("the deadline passed while the request was running");
        m_phase = Phase::answered;
        co_return std::move(m_answer);
    }

    /**
     * @brief Checks if this attempt sent a request that may be running.
     * @return True between begin() and reopen().
     */
    [[nodiscard]] bool isSent() const { return m_phase == Phase::sent; }

    /**
     * @brief Returns the time until the deadline.
     * @return Zero or negative if the deadline has passed.
     */
    [[nodiscard]] Duration timeLeft() const { return m_deadline - m_timing.now(); }

private:
    static constexpr unsigned serviceUnavailable = 503;

    enum class Phase { open, sent, offered, answered };

    TimingType m_timing;
    typename TimingType::Timer m_timer;
    TimePoint m_deadline;
    Phase m_phase { Phase::open };
    ClientAnswer m_answer;
};

}
