// Progress rows in Controller: their writes, refusals and limits.
#include "lycheespool/controller/controller.h"

#include "lycheespool/core/event_log.h"
#include "lycheespool/store/row_store.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ranges>

namespace lycheespool {

namespace {

// Size of the fence's condition and of the names of the lists in a transaction's body; its names are texts of at most
// 200 bytes each.
constexpr std::size_t fenceBytes = 4096;
// A row that was refused is rarely accepted soon; the pause keeps the calls for it few.
constexpr auto refusedRowPause = std::chrono::seconds { 5 };
// Room in the progress row for the checkpoint of a task, bytes; executors use 16. Longer ones are left out of a full
// row.
constexpr std::size_t checkpointBytes = 32;

}

std::size_t ProgressWrite::transactionBytes() const
{
    // The condition and the write both name the row; a byte of the key takes up to 6 as JSON, and 512 cover the fields,
    // the version, the table and the partition.
    constexpr std::size_t jsonBytesPerByte = 6;
    constexpr std::size_t fieldBytes = 512;
    return (value.size() + 2) / 3 * 4 + 2 * (jsonBytesPerByte * job.size() + fieldBytes);
}

ProgressWrite Controller::writeOf(const ManagedWorkload& job) const
{
    return { job.id, job.rowVersion, job.revision,
        job.progress.encode(job.row.queue, job.row.workspace, m_settings.maxProgressBytes) };
}

std::vector<ProgressWrite> Controller::pendingWrites(std::size_t limit) const
{
    const auto maxRows = m_singleWrites > 0 ? std::min<std::size_t>(limit, 1) : limit;
    std::vector<ProgressWrite> writes;
    std::size_t bytes = fenceBytes;
    const ManagedWorkload* refused = nullptr;
    auto it = m_jobs.upper_bound(m_lastStoredJob);
    for (std::size_t i = 0; i < m_jobs.size() && writes.size() < maxRows; ++i, ++it) {
        if (it == m_jobs.end())
            it = m_jobs.begin();
        const auto& job = it->second;
        if (job.revision == job.storedRevision)
            continue;
        if (job.refusedRevision > 0) {
            if (!refused && job.revision != job.refusedRevision)
                refused = &job;
            continue;
        }
        auto write = writeOf(job);
        bytes += write.transactionBytes();
        if (!writes.empty() && bytes > maxTransactionBytes)
            break;
        writes.push_back(std::move(write));
    }
    if (writes.empty() && refused)
        writes.push_back(writeOf(*refused));
    return writes;
}

bool Controller::hasPendingWrites() const
{
    return std::ranges::any_of(m_jobs, [](const auto& it) {
        const auto& job = it.second;
        return job.revision != job.storedRevision && job.revision != job.refusedRevision;
    });
}

void Controller::markStored(const ProgressWrite& write, std::uint64_t rowVersion)
{
    m_lastStoredJob = write.job;
    m_singleWrites -= std::min<std::size_t>(m_singleWrites, 1);
    if (auto* const job = findJob(write.job)) {
        job->storedRevision = write.revision;
        job->refusedRevision = 0;
        job->rowVersion = rowVersion;
    }
}

void Controller::onWritesRefused(const std::vector<ProgressWrite>& writes, const ClockReading& now)
{
    if (writes.size() != 1) {
        m_singleWrites = writes.size();
        return;
    }
    const auto& write = writes.front();
    m_singleWrites -= std::min<std::size_t>(m_singleWrites, 1);
    m_writesRefused.add();
    logEvent("progress_write_refused",
        { { "job", write.job }, { "bytes", write.value.size() }, { "revision", write.revision },
            { "epoch", m_epoch.value() } });
    auto* const job = findJob(write.job);
    if (!job)
        return;
    job->refusedRevision = write.revision;
    job->heldUntil = now.steady + refusedRowPause;
    const RunKey first { { job->id, {} }, 0 };
    for (auto it = m_runs.lower_bound(first); it != m_runs.end() && it->first.task.job == job->id; ++it) {
        if (it->second.phase == RunPhase::planned)
            stopRun(it->first, "the store refuses the progress row");
    }
}

void Controller::setRowVersion(const std::string& job, std::uint64_t rowVersion)
{
    if (auto* const it = findJob(job))
        it->rowVersion = rowVersion;
}

/*! @brief Returns how many tasks of a job may be started and not done, so that its progress row holds them all. */
std::size_t Controller::maxOpenTasks(const ManagedWorkload& job) const
{
    const bool savesCheckpoints = std::ranges::any_of(job.row.request.steps, &StepSpec::savesCheckpoints);
    const auto taskBytes
        = JobProgress::maxTaskBytes(m_maxExecutorBytes, m_maxNodeBytes, savesCheckpoints ? checkpointBytes : 0);
    const auto fixedBytes = job.progress.maxFixedBytes(job.row.queue, job.row.workspace);
    return m_settings.maxProgressBytes > fixedBytes ? (m_settings.maxProgressBytes - fixedBytes) / taskBytes : 0;
}

/*! @brief Finds the reason why a job that has not started can never run. */
std::optional<std::string> Controller::findRowFault(const ManagedWorkload& job) const
{
    if (job.progress.state != WorkloadState::pending)
        return std::nullopt;
    const auto tasksAtOnce = [](const StepSpec& it) { return it.isGang ? it.tasks : 1U; };
    const auto largest = std::ranges::max(job.row.request.steps | std::views::transform(tasksAtOnce));
    const auto maxOpen = maxOpenTasks(job);
    if (largest <= maxOpen)
        return std::nullopt;
    return fmt::format(
        "{} tasks must run at once, but a progress row describes at most {}; use smaller gangs", largest, maxOpen);
}

/*! @brief Returns how many tasks may start for the first time; a task that was started has its room until it is done.
 */
std::size_t Controller::startableTasks(const ManagedWorkload& job) const
{
    const auto maxOpen = maxOpenTasks(job);
    if (job.progress.taskCount() <= maxOpen)
        return maxOpen;
    return maxOpen - std::min(maxOpen, job.progress.countStoredTasks());
}

/*! @brief Takes the room of a task in its job's row; returns false if it starts for the first time and none is left. */
bool Controller::takeRowRoom(const ManagedWorkload& job, const TaskPosition& position, std::size_t& room)
{
    if (job.progress.at(position).lastRun > 0)
        return true;
    if (room == 0)
        return false;
    --room;
    return true;
}

}
