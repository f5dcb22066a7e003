#pragma once

#include "lycheespool/core/clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace lycheespool {

/*! @brief Consecutive failures of different jobs that quarantine a worker. */
inline constexpr std::size_t failuresToQuarantine = 3;

/*! @brief Time in quarantine, and time that a worker then has to complete one task. */
inline constexpr Duration quarantineTime = std::chrono::minutes { 10 };

/*! @brief Failures of one worker since a job last succeeded there. */
class WorkerHealth {
public:
    /*! @brief Whether the worker gets work. */
    enum class State : std::uint8_t {
        /*! @brief Gets all work. */
        healthy,
        /*! @brief Gets no work. */
        quarantined,
        /*! @brief Gets one task. */
        probation,
    };

    /**
     * @brief Records that a task failed here.
     * @param job Hash of the job's id.
     * @param now The present time.
     */
    void failed(std::size_t job, TimePoint now)
    {
        if (std::ranges::find(m_failedJobs, job) == m_failedJobs.end())
            m_failedJobs.push_back(job);
        if (m_state != State::probation && m_failedJobs.size() < failuresToQuarantine)
            return;
        m_state = State::quarantined;
        m_changesAt = now + quarantineTime;
    }

    /*! @brief Records that a job succeeded here. */
    void succeeded()
    {
        m_failedJobs.clear();
        m_state = State::healthy;
    }

    /**
     * @brief Moves on when the time of the present state is over.
     *
     * A worker that got no task on probation becomes healthy, but its next failure quarantines it again.
     *
     * @param now The present time.
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
     * @brief Tells whether only one job has failed here, if any.
     * @param job Hash of that job's id.
     * @return True when the worker gets work and runs all other jobs well.
     */
    [[nodiscard]] bool runsOthersWell(std::size_t job) const
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
