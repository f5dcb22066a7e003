#include "lycheespool/workload/job_progress.h"

#include "lycheespool/core/error.h"

#include <algorithm>

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

}

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

std::string JobProgress::encode(const std::string& queue, const std::string& workspace) const
{
    StoredProgress stored;
    stored.header = { static_cast<std::uint8_t>(state), queue, workspace, endedUnixMs };
    if (!isEnded(state) || std::ranges::any_of(m_tasks, [](const auto& it) { return !it.placements.empty(); })) {
        stored.done.resize((m_tasks.size() + 7) / 8);
        for (std::size_t i = 0; i < m_tasks.size(); ++i) {
            const auto& task = m_tasks[i];
            if (task.done)
                stored.done[i / 8] = static_cast<char>(stored.done[i / 8] | (1 << (i % 8)));
            if (!task.placements.empty() || (!task.done && task.lastRun > 0))
                stored.tasks.push_back({ i, task });
        }
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
