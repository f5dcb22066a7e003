#include "lycheespool/workload/job_request.h"

#include <fmt/format.h>

#include <algorithm>

namespace lycheespool {

namespace {

std::optional<std::string> findStepError(const StepSpec& step, std::size_t number)
{
    if (step.tasks == 0)
        return fmt::format("step {} has no tasks; set a count of 1 or more", number);
    const auto& need = step.perTask;
    if (need.milliCores < 0 || need.memoryMiB < 0 || need.accelerators < 0)
        return fmt::format("step {} requests a negative amount of a resource; use 0 or more", number);
    // Steps may depend only on earlier steps, which rules out cycles.
    if (std::ranges::any_of(step.after, [&](std::uint32_t it) { return it >= number; }))
        return fmt::format("step {} depends on itself or a later step; reorder the steps", number);
    return std::nullopt;
}

}

std::optional<std::uint64_t> countTasks(const JobRequest& request)
{
    std::uint64_t tasks = 0;
    for (const auto& it : request.steps) {
        if (__builtin_add_overflow(tasks, it.tasks, &tasks))
            return std::nullopt;
    }
    if (__builtin_mul_overflow(tasks, request.occurrenceCount(), &tasks))
        return std::nullopt;
    return tasks;
}

bool hasValidDueTimes(const JobRequest& request)
{
    std::int64_t last = 0;
    const bool isOverflow = __builtin_mul_overflow(request.intervalMs, request.occurrenceCount() - 1, &last)
        || __builtin_add_overflow(request.firstDueUnixMs, last, &last);
    const auto isValid = [](std::int64_t ms) { return ms >= -maxDueUnixMs && ms <= maxDueUnixMs; };
    return !isOverflow && isValid(request.firstDueUnixMs) && isValid(last);
}

std::optional<std::string> findValidationError(const JobRequest& request)
{
    if (request.steps.empty())
        return "the job has no steps; add at least one";
    if (request.steps.size() > maxStepsPerJob)
        return fmt::format("the job has {} steps; use at most {}", request.steps.size(), maxStepsPerJob);
    for (std::size_t i = 0; i < request.steps.size(); ++i) {
        if (auto fault = findStepError(request.steps[i], i))
            return fault;
    }
    if (const auto tasks = countTasks(request); !tasks || *tasks > maxTasksPerJob)
        return fmt::format("the job has more than {} tasks over all steps and occurrences; use fewer", maxTasksPerJob);
    if (request.occurrences > 0 && request.intervalMs < 0)
        return "the interval is negative; use 0 or more";
    if (request.occurrences > 0 && !hasValidDueTimes(request))
        return "an occurrence is due too far from the present; use an earlier time or a shorter interval";
    return std::nullopt;
}

}
