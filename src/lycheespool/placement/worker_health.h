#pragma once

#include "lycheespool/core/clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace lycheespool {

/*! @brief Number of different jobs that must fail without a success in between to quarantine a worker. */
inline constexpr std::size_t failuresToQuarantine = 3;

/*! @brief Duration of the quarantine, and of the probation after it, in which a worker must complete one task. */
inline constexpr Duration quarantineTime = std::chrono::minutes { 10 };

/*! @brief Failures of one worker since a job last succeeded there. */
class WorkerHealth {
public:
    /*! @brief Scheduling state of the worker. */
    enum class State : std::uint8_t {
        /*! @brief Receives any work. */
        healthy,
        /*! @brief Receives no work. */
        quarantined,
        /*! @brief Receives one probe task at a time. */
        probation,
    };

    /**
     * @brief Records that a task failed here.
     * @param job Hash of the job's id.
     * @param now The current time.
     */
    void recordFailure(std::size_t job, TimePoint now)
    {
        if (std::ranges::find(m_failedJobs, job) == m_failedJobs.end())
            m_failedJobs.push_back(job);
        if (m_state != State::probation && m_failedJobs.size() < failuresToQuarantine)
            return;
        m_state = State::quarantined;
        m_changesAt = now + quarantineTime;
    }

    /*! @brief Records that a job succeeded here. */
    void recordSuccess()
    {
        m_failedJobs.clear();
        m_state = State::healthy;
    }

    /**
     * @brief Changes to the next state when the time of the current state has elapsed.
     *
     * A worker that received no task on probation becomes healthy, but the next failure quarantines it again.
     *
     * @param now The current time.
     */
    void advance(TimePoint now)
    {
        if (m_state == State::healthy || now < m_changesAt)
            return;
        const auto onProbation = m_state == State::probation;
        m_state = onProbation ? State::healthy : State::probation;
        m_changesAt = now + quarantineTime;
        m_failedJobs.resize(std::min(m_failedJobs.size(), failuresToQuarantine - 1));
    }

    /**
     * @brief Checks if no job other than the given one has failed here.
     * @param job Hash of the given job's id.
     * @return True when the worker is healthy and no other job has failed here.
     */
    [[nodiscard]] bool healthyForOthers(std::size_t job) const
    {
        return m_state == State::healthy && std::ranges::all_of(m_failedJobs, [&](auto it) { return it == job; });
    }

    [[nodiscard]] State state() const { return m_state; }

private:
    std::vector<std::size_t> m_failedJobs;
    TimePoint m_changesAt;
    State m_state { State::healthy };
};

}
