#include "lycheespool/scheduler/job_state.h"

#include "lycheespool/core/error.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace lycheespool {

namespace {

using enum JobState;

constexpr std::array<std::pair<JobState, std::string_view>, 7> names { {
    { queued, "queued" },
    { reserving, "reserving" },
    { running, "running" },
    { checkpointing, "checkpointing" },
    { done, "done" },
    { failed, "failed" },
    { cancelled, "cancelled" },
} };

// All allowed state transitions.
constexpr std::array<std::pair<JobState, JobState>, 16> transitions { {
    { queued, reserving },
    { queued, failed },
    { queued, cancelled },
    { reserving, queued },
    { reserving, running },
    { reserving, failed },
    { reserving, cancelled },
    { running, queued },
    { running, checkpointing },
    { running, done },
    { running, failed },
    { running, cancelled },
    { checkpointing, queued },
    { checkpointing, running },
    { checkpointing, failed },
    { checkpointing, cancelled },
} };

}

std::string_view toString(JobState state) { return names.at(static_cast<std::size_t>(state)).second; }

JobState parseJobState(std::string_view name)
{
    const auto* const it = std::ranges::find(names, name, &decltype(names)::value_type::second);
    if (it == names.end())
        throw Error { ErrorKind::invalidArgument, "unknown job state: " + std::string { name },
            "use one of the job states listed in docs/jobs.md" };
    return it->first;
}

bool isAllowed(JobState from, JobState to)
{
    return std::ranges::find(transitions, std::pair { from, to }) != transitions.end();
}

}
