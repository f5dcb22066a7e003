#include "lycheespool/core/error.h"
#include "lycheespool/workload/job_progress.h"
#include "lycheespool/workload/job_request.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <limits>
#include <utility>

using namespace lycheespool;

namespace {

JobRequest twoSteps()
{
    JobRequest request;
    request.steps.resize(2);
    request.steps[0].tasks = 3;
    request.steps[1].tasks = 2;
    request.steps[1].after = { 0 };
    return request;
}

}

TEST_CASE("an invalid job is rejected with a reason")
{
    CHECK_FALSE(findValidationError(twoSteps()));
    CHECK(findValidationError(JobRequest {}));
    auto empty = twoSteps();
    empty.steps[0].tasks = 0;
    CHECK(findValidationError(empty));
    auto cycle = twoSteps();
    cycle.steps[0].after = { 1 };
    CHECK(findValidationError(cycle));
    auto itself = twoSteps();
    itself.steps[1].after = { 1 };
    CHECK(findValidationError(itself));
    auto huge = twoSteps();
    huge.steps[0].tasks = 4'000'000'000U;
    huge.occurrences = 4'000'000'000U;
    CHECK(findValidationError(huge));
    auto negative = twoSteps();
    negative.steps[0].perTask.memoryMiB = -1;
    CHECK(findValidationError(negative));
}

// Guards against a job whose task count overflows to 0, is accepted and ends each process that leads.
TEST_CASE("a job whose products or sums overflow is rejected")
{
    JobRequest zero;
    zero.steps.resize(4);
    for (auto& it : zero.steps)
        it.tasks = 2'147'483'648U;
    zero.occurrences = 2'147'483'648U;
    CHECK(findValidationError(zero));
    constexpr auto highest = std::numeric_limits<std::int64_t>::max();
    constexpr auto lowest = std::numeric_limits<std::int64_t>::min();
    for (const auto& [first, interval] : { std::pair { highest, std::int64_t { 0 } }, { lowest, std::int64_t { 0 } },
             { std::int64_t { 1 }, highest }, { std::int64_t { 1 } << 53, std::int64_t { 1 } } }) {
        CAPTURE(first);
        CAPTURE(interval);
        auto job = twoSteps();
        job.occurrences = 3;
        job.firstDueUnixMs = first;
        job.intervalMs = interval;
        CHECK(findValidationError(job));
    }
    auto valid = twoSteps();
    valid.occurrences = 3;
    valid.firstDueUnixMs = 1'780'000'000'000;
    valid.intervalMs = 50;
    CHECK_FALSE(findValidationError(valid));
}

TEST_CASE("a task name is parsed from its text form, and other texts are rejected")
{
    CHECK(rc::check("round trip", [](std::uint32_t k, std::uint32_t s, std::uint32_t i) {
        const TaskName name { "5c0e7a21d94b36f8", { k, s, i } };
        RC_ASSERT(parseTaskName(name.toString()) == name);
    }));
    for (const auto* const text : { "", "a", "a.1.2", ".0.0.0", "a.0.0.x", "a.0.0.", "a.0.-1.0", "a.0.0.99999999999" })
        CHECK_FALSE(parseTaskName(text));
}

TEST_CASE("progress is restored from its row, so that a new leader finds every run that may exist")
{
    CHECK(rc::check("round trip", [](std::vector<bool> done, std::uint64_t run) {
        const auto request = twoSteps();
        JobProgress progress { request };
        progress.state = WorkloadState::running;
        std::size_t i = 0;
        progress.forEach([&](const TaskPosition& position, TaskProgress& task) {
            task.done = i < done.size() && done[i];
            if (++i % 2 == 0) {
                task.lastRun = run + 1;
                task.placements.push_back({ { "i-1", 17 }, "node-1", run + 1 });
                task.checkpoint = "00ab";
                task.failures = position.index;
            }
        });
        const auto bytes = progress.encode("q", "w");
        auto copy = JobProgress::decode(request, bytes);
        RC_ASSERT(copy.encode("q", "w") == bytes);
        RC_ASSERT(copy.state == WorkloadState::running);
        progress.forEach([&](const TaskPosition& position, const TaskProgress& task) {
            RC_ASSERT(copy.at(position).done == task.done);
            RC_ASSERT(copy.at(position).placements.size() == task.placements.size());
        });
        const auto head = JobProgress::decodeHeader(bytes);
        RC_ASSERT(head.queue == "q");
        RC_ASSERT(head.workspace == "w");
    }));
}

TEST_CASE("an unreadable row is an error, not an empty job")
{
    CHECK_THROWS_AS((void)JobProgress::decode(twoSteps(), "not a row"), Error);
    CHECK_THROWS_AS((void)JobProgress::decodeHeader(""), Error);
    CHECK_THROWS_AS((void)unpackValue<JobRow>("\xc1"), Error);
}

TEST_CASE("the largest job fits into a row of 64 KiB")
{
    JobRequest request;
    request.steps.resize(1);
    request.steps[0].tasks = maxTasksPerJob;
    JobProgress progress { request };
    progress.state = WorkloadState::running;
    std::uint32_t live = 0;
    progress.forEach([&](const TaskPosition&, TaskProgress& task) {
        task.done = true;
        // One job does not occupy a whole deployment of 17,000 workers; 500 live runs are a generous upper bound.
        if (++live <= 500) {
            task.done = false;
            task.lastRun = 3;
            task.checkpoint = "00000bb87a21d94b";
            task.placements.push_back({ { "i-7f3a91c2", 1'780'000'000'000 }, "side-zone-a-123", 3 });
        }
    });
    CHECK(progress.encode("r-3ajwyy7", "kaje80").size() < 64 * 1024);
}

// Guards against a failure that is counted twice, or whose run is forgotten, after later starts and a change of the
// leader.
TEST_CASE("a task names the failed ones of its last 64 runs")
{
    JobRequest request;
    request.steps.emplace_back().tasks = 1;
    JobProgress progress { request };
    auto& task = progress.at({ 0, 0, 0 });
    task.setLastRun(1);
    CHECK(task.knowsFailedRuns());
    CHECK_FALSE(task.isFailureCounted(1));
    task.countFailure(1);
    task.setLastRun(3);
    task.placements.push_back({ { "executor", 1 }, "node", 3, true });
    const auto stored = JobProgress::decode(request, progress.encode("queue", ""));
    const auto& read = stored.at({ 0, 0, 0 });
    CHECK(read.isFailureCounted(1));
    CHECK_FALSE(read.isFailureCounted(2));
    CHECK(read.knowsFailedRuns());
    CHECK(read.placements.at(0).wasAtWork);
    task.setLastRun(64);
    CHECK(task.isFailureCounted(1));
    task.setLastRun(65);
    CHECK(task.isFailureCounted(1));
    CHECK_FALSE(task.isFailureCounted(2));
    CHECK_FALSE(task.knowsFailedRuns());
}
