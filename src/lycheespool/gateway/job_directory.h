#pragma once

#include "lycheespool/workload/job_progress.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lycheespool {

/*! @brief State of a job as known to an entry. */
struct JobSummary {
    WorkloadState state { WorkloadState::pending };
    std::string queue;
    std::uint64_t version { 0 };
};

/*! @brief In-memory index of the states of all jobs, updated from the progress rows. */
class JobDirectory {
public:
    /**
     * @brief Applies a progress row; a version older than the known one is ignored.
     * @param id Name of the job.
     * @param bytes The row.
     * @param version Version of the row.
     * @throws Error of kind malformedFrame if the row cannot be decoded.
     */
    void update(const std::string& id, std::string_view bytes, std::uint64_t version)
    {
        const auto header = JobProgress::decodeHeader(bytes);
        insert(id, static_cast<WorkloadState>(header.state), header.queue, version);
    }

    /**
     * @brief Records the state of a job; a version older than the known one is ignored.
     * @param id Name of the job.
     * @param state Its state.
     * @param queue Its queue.
     * @param version Version of the row.
     */
    void insert(const std::string& id, WorkloadState state, const std::string& queue, std::uint64_t version)
    {
        const auto [it, isNew] = m_jobs.try_emplace(id);
        auto& job = it->second;
        if (!isNew && version < job.version)
            return;
        if (!isNew && job.state == WorkloadState::pending)
            --m_pending[job.queue];
        job = { state, queue, version };
        if (state == WorkloadState::pending)
            ++m_pending[queue];
    }

    /**
     * @brief Removes a job whose row was removed.
     * @param id Name of the job.
     */
    void remove(const std::string& id)
    {
        const auto it = m_jobs.find(id);
        if (it == m_jobs.end())
            return;
        if (it->second.state == WorkloadState::pending)
            --m_pending[it->second.queue];
        m_jobs.erase(it);
    }

    /*! @brief Removes all jobs. */
    void clear()
    {
        m_jobs.clear();
        m_pending.clear();
    }

    /**
     * @brief Finds a job.
     * @param id Name of the job.
     * @return The job, or nothing.
     */
    [[nodiscard]] std::optional<JobSummary> find(const std::string& id) const
    {
        const auto it = m_jobs.find(id);
        return it == m_jobs.end() ? std::nullopt : std::optional { it->second };
    }

    /**
     * @brief Returns the number of pending jobs of a queue.
     * @param queue Name of the queue.
     * @return Number of jobs.
     */
    [[nodiscard]] std::int64_t pendingIn(const std::string& queue) const
    {
        const auto it = m_pending.find(queue);
        return it == m_pending.end() ? 0 : it->second;
    }

    /*! @brief Number of jobs. */
    [[nodiscard]] std::size_t size() const { return m_jobs.size(); }

private:
    std::map<std::string, JobSummary> m_jobs;
    std::map<std::string, std::int64_t> m_pending;
};

}
