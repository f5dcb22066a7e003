#include "lycheespool/workload/job_progress.h"

#include "lycheespool/core/error.h"

#include <algorithm>
#include <bit>
#include <ranges>
#include <utility>

namespace lycheespool {

namespace detail {

void throwDecodeError(const char* reason)
{
    throw Error { ErrorKind::malformedFrame, std::string { "cannot decode the row: " } + reason,
        "check which version of lycheespool wrote the row" };
}

}

namespace {

/*! @brief A task that still has placements, or that has been ordered and is not done. */
struct StoredTask {
    std::uint64_t index { 0 };
    TaskProgress task;
    MSGPACK_DEFINE(index, task)
};

struct StoredProgress {
    ProgressHeader header;
    /*! @brief One bit per task, set for done tasks. */
    std::string done;
    std::vector<StoredTask> tasks;
    MSGPACK_DEFINE(header, done, tasks)
};

// Number of runs that TaskProgress::failedRuns covers.
constexpr std::uint64_t coveredRuns = 64;

bool isStored(const TaskProgress& task) { return !task.placements.empty() || (!task.done && task.lastRun > 0); }

}

void TaskProgress::setLastRun(std::uint64_t run)
{
    const auto advance = run - lastRun;
    failedRuns = advance < coveredRuns ? failedRuns << advance : 0;
    lastRun = run;
}

bool TaskProgress::isFailureCounted(std::uint64_t run) const
{
    const auto age = lastRun - run;
    return age >= coveredRuns || (failedRuns >> age & 1U) != 0;
}

void TaskProgress::countFailure(std::uint64_t run)
{
    ++failures;
    if (const auto age = lastRun - run; age < coveredRuns)
        failedRuns |= std::uint64_t { 1 } << age;
}

bool TaskProgress::knowsFailedRuns() const { return std::cmp_equal(std::popcount(failedRuns), failures); }

JobProgress::JobProgress(const JobRequest& request)
    : m_occurrences { request.occurrenceCount() }
{
    for (const auto& it : request.steps)
        m_offsets.push_back(m_offsets.back() + it.tasks);
    m_tasks.resize(std::size_t { m_offsets.back() } * m_occurrences);
}

std::size_t JobProgress::indexOf(const TaskPosition& position) const
{
    return std::size_t { position.occurrence } * m_offsets.back() + m_offsets[position.step] + position.index;
}

TaskProgress& JobProgress::at(const TaskPosition& position) { return m_tasks[indexOf(position)]; }

const TaskProgress& JobProgress::at(const TaskPosition& position) const { return m_tasks[indexOf(position)]; }

TaskProgress* JobProgress::find(const TaskPosition& position)
{
    if (position.occurrence >= m_occurrences || position.step + 1 >= m_offsets.size()
        || position.index >= m_offsets[position.step + 1] - m_offsets[position.step])
        return nullptr;
    return &at(position);
}

std::uint32_t JobProgress::countOpenTasks(std::uint32_t occurrence, std::uint32_t step) const
{
    const auto first = m_tasks.begin() + static_cast<std::ptrdiff_t>(indexOf({ occurrence, step, 0 }));
    const auto last = first + (m_offsets[step + 1] - m_offsets[step]);
    return static_cast<std::uint32_t>(std::count_if(first, last, [](const auto& it) { return !it.done; }));
}

std::size_t JobProgress::maxTaskBytes(std::size_t executorBytes, std::size_t nodeBytes, std::size_t checkpointBytes)
{
    // Attempts, crashes and losses of a task are limited to far lower numbers.
    constexpr std::uint16_t maxCount = std::numeric_limits<std::uint16_t>::max();
    StoredTask stored { maxTasksPerJob, {} };
    auto& task = stored.task;
    task.failures = task.crashes = task.losses = maxCount;
    task.lastRun = task.lastFailedRun = maxCount;
    task.failedRuns = std::numeric_limits<std::uint64_t>::max();
    task.checkpoint.resize(checkpointBytes);
    task.placements.push_back({ { std::string(executorBytes, ' '), std::numeric_limits<std::int64_t>::max() },
        std::string(nodeBytes, ' '), maxCount, true });
    return packValue(stored).size();
}

std::size_t JobProgress::maxFixedBytes(const std::string& queue, const std::string& workspace) const
{
    // Two arrays of fixed and one of variable size take up to 7 bytes, the two numbers 11, the headers of three texts
    // 15.
    constexpr std::size_t headers = 7 + 11 + 15;
    return headers + queue.size() + workspace.size() + (m_tasks.size() + 7) / 8;
}

std::size_t JobProgress::countStoredTasks() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_tasks, isStored));
}

std::string JobProgress::encode(const std::string& queue, const std::string& workspace, std::size_t maxBytes) const
{
    StoredProgress stored;
    stored.header = { static_cast<std::uint8_t>(state), queue, workspace, endedUnixMs };
    if (!isEnded(state) || std::ranges::any_of(m_tasks, [](const auto& it) { return !it.placements.empty(); })) {
        stored.done.resize((m_tasks.size() + 7) / 8);
        for (std::size_t i = 0; i < m_tasks.size(); ++i) {
            const auto& task = m_tasks[i];
            if (task.done)
                stored.done[i / 8] = static_cast<char>(stored.done[i / 8] | (1 << (i % 8)));
            if (isStored(task))
                stored.tasks.push_back({ i, task });
        }
    }
    auto bytes = packValue(stored);
    auto excess = bytes.size() > maxBytes ? bytes.size() - maxBytes : 0;
    if (excess == 0)
        return bytes;
    for (auto& it : stored.tasks | std::views::reverse) {
        if (excess == 0)
            break;
        excess -= std::min(excess, it.task.checkpoint.size());
        it.task.checkpoint.clear();
    }
    return packValue(stored);
}

JobProgress JobProgress::decode(const JobRequest& request, std::string_view bytes)
{
    auto stored = unpackValue<StoredProgress>(bytes);
    if (stored.header.state > static_cast<std::uint8_t>(WorkloadState::cancelled))
        detail::throwDecodeError("unknown state");
    JobProgress progress { request };
    progress.state = static_cast<WorkloadState>(stored.header.state);
    progress.endedUnixMs = stored.header.endedUnixMs;
    for (std::size_t i = 0; i < progress.m_tasks.size() && i / 8 < stored.done.size(); ++i)
        progress.m_tasks[i].done = (static_cast<unsigned char>(stored.done[i / 8]) >> (i % 8) & 1U) != 0;
    for (auto& it : stored.tasks) {
        if (it.index < progress.m_tasks.size())
            progress.m_tasks[it.index] = std::move(it.task);
    }
    return progress;
}

ProgressHeader JobProgress::decodeHeader(std::string_view bytes) { return unpackValue<StoredProgress>(bytes).header; }

}
