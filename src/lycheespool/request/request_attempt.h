#pragma once

#include "lycheespool/request/answers.h"
#include "lycheespool/request/timing.h"

#include <algorithm>
#include <utility>

namespace lycheespool {

/**
 * @brief One attempt at a non-idempotent request: gives exactly one answer by the deadline.
 *
 * The work and the waiting client run as two coroutines on the same executor, served by one thread at a time, because
 * operations of the table cannot be cancelled and may outlast the deadline.
 *
 * @tparam TimingType Model of Timing.
 */
template <Timing TimingType>
class RequestAttempt {
public:
    /**
     * @brief Begins an attempt.
     * @param timing Clock and timers.
     * @param executor Executor of both coroutines.
     * @param deadline Time by which the client has its answer.
     */
    RequestAttempt(TimingType timing, const asio::any_io_executor& executor, TimePoint deadline)
        : m_timing { std::move(timing) }
        , m_timer { m_timing, executor }
        , m_deadline { deadline }
    {
    }

    /**
     * @brief Asks for permission to send the request to an executor.
     * @return False when the client already has the answer "not run"; the request must not be sent then.
     */
    [[nodiscard]] bool begin()
    {
        if (m_phase != Phase::open || m_timing.now() >= m_deadline)
            return false;
        m_phase = Phase::sent;
        return true;
    }

    /*! @brief Records the proof that what was sent did not run. */
    void reopen()
    {
        if (m_phase == Phase::sent)
            m_phase = Phase::open;
    }

    /**
     * @brief Offers the final answer; the first one counts.
     * @param answer The answer.
     */
    void finish(ClientAnswer answer) { offer(std::move(answer), Duration::zero()); }

    /**
     * @brief Offers the final answer, which the client gets after more work on it or after a delay.
     * @param answer The answer.
     * @param delay Longest delay; finish() ends it.
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
     * @return The answer offered, or at the deadline what is known then.
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
     * @brief Tells whether the request may be running because of this attempt.
     * @return True between begin() and reopen().
     */
    [[nodiscard]] bool isSent() const { return m_phase == Phase::sent; }

    /**
     * @brief Measures the time until the deadline.
     * @return Zero or negative when it has passed.
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
