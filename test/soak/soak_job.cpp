#include "soak/soak_job.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>

namespace lycheespool::soak {

namespace {

std::int64_t between(std::mt19937_64& random, std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t> { low, high }(random);
}

bool oneIn(std::mt19937_64& random, std::int64_t n) { return between(random, 1, n) == 1; }

}

std::string SoakJob::body() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& it : steps) {
        nlohmann::json step { { "count", it.tasks }, { "cpu", it.perTask.milliCores },
            { "memMb", it.perTask.memoryMiB }, { "gpu", it.perTask.accelerators },
            { "estimatedMs", std::chrono::duration_cast<std::chrono::milliseconds>(it.work).count() } };
        if (it.isGang)
            step["gang"] = true;
        if (it.savesCheckpoints)
            step["checkpointing"] = true;
        if (!it.after.empty())
            step["after"] = it.after;
        list.push_back(std::move(step));
    }
    return nlohmann::json { { "spec", payload }, { "steps", std::move(list) } }.dump();
}

SoakJob generateJob(std::mt19937_64& random, std::uint64_t number)
{
    SoakJob job;
    job.id = fmt::format("{:016x}", (number << 32U) | static_cast<std::uint32_t>(random()));
    job.payload = fmt::format("payload of {}", job.id);
    const auto steps = oneIn(random, 3) ? between(random, 2, 3) : 1;
    for (std::int64_t i = 0; i < steps; ++i) {
        SoakStep step;
        step.isGang = oneIn(random, 4);
        step.tasks = static_cast<std::uint32_t>(step.isGang ? between(random, 2, 3) : between(random, 1, 5));
        step.perTask = { between(random, 500, 4000), between(random, 100, 2000),
            step.isGang ? between(random, 1, 4) : between(random, 0, 1) };
        step.work = std::chrono::milliseconds { between(random, 150, 2500) };
        step.savesCheckpoints = oneIn(random, 3);
        if (i > 0)
            step.after.push_back(static_cast<std::uint32_t>(between(random, 0, i - 1)));
        job.steps.push_back(std::move(step));
    }
    return job;
}

}
