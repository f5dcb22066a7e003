// The scripted cases. Each returns 1 if the rule was broken, 0 if it held, 2 if it could not run.
#pragma once

#include "deployment.h"

namespace standin {

/*! @brief Asks one gateway after another for the state of a job. */
inline std::string stateOf(Deployment& deployment, const std::string& path)
{
    for (std::size_t i = 0; i < deployment.gateways.size(); ++i) {
        const auto answer = deployment.client(i, "GET", path, "", 2000);
        if (answer.status == 200)
            return json::parse(answer.body).value("state", std::string {});
    }
    return {};
}

/*!
 * @brief LOST: a job is shown as failed although none of its runs has ended failed; its executor went down and up.
 */
inline int crashedExecutor(DeploymentOptions options, bool isDisturbed)
{
    options.executors = 10;
    // The service has one executor of the kind that the job requires; it is a tenth of all.
    options.kinds = { "b" };
    Deployment deployment { options };
    if (!deployment.start())
        return 2;
    const std::string job = "/a/5c0e7a21d94b36f8";
    const json body { { "spec", "work=11000" },
        { "steps", { { { "count", 1 }, { "cpu", 26000 }, { "memMb", 75000 }, { "gpu", 1 }, { "estimatedMs", 11000 },
                       { "requires", "b" } } } } };
    if (deployment.client(0, "POST", job, body.dump()).status != 200)
        return 2;
    auto& executor = *deployment.executors.front();
    for (int crash = 0; isDisturbed && crash < 5; ++crash) {
        // The executor crashes in the midst of the task, and starts again under its id.
        for (int i = 0; i < 100 && !executor.runs(""); ++i)
            sleepMs(100);
        if (!executor.runs(""))
            return 2;
        sleepMs(2000);
        executor.crash();
        sleepMs(1400);
        if (!executor.start(true))
            return 2;
    }
    record.line("the executor stays up from here on");
    std::string state;
    const auto until = steadyMs() + 40000;
    while (steadyMs() < until) {
        state = stateOf(deployment, job);
        if (state == "completed" || state == "failed" || state == "cancelled")
            break;
        sleepMs(1000);
    }
    const auto failures = runLog.count("failed");
    record.line("shown as " + state + "; runs that ended failed: " + std::to_string(failures)
        + "; runs that ended with their executor: " + std::to_string(runLog.count("crash")));
    if (state == "failed" && failures == 0)
        return 1;
    return state == "completed" ? 0 : 2;
}

/*!
 * @brief LOST: a job has nothing running although most of the service is free, since a gang that waits for whole
 * executors keeps all of them.
 */
inline int starvedJob(DeploymentOptions options, bool isDisturbed)
{
    options.executors = 6;
    Deployment deployment { options };
    if (!deployment.start())
        return 2;
    const std::string longJob = "1000000000000001";
    const std::string gang = "2000000000000002";
    const std::string job = "3000000000000003";
    // One task on each executor; the tasks take four times as long as estimated.
    const json longBody { { "spec", "work=30000" },
        { "steps", { { { "count", 6 }, { "cpu", 5600 }, { "memMb", 23000 }, { "gpu", 1 }, { "estimatedMs", 7600 },
                       { "antiAffinity", 1 } } } } };
    const json gangBody { { "spec", "work=11000" },
        { "steps", { { { "count", 6 }, { "cpu", 26000 }, { "memMb", 75000 }, { "gpu", 8 }, { "estimatedMs", 11000 },
                       { "gang", true } } } } };
    const json jobBody { { "spec", "work=2500" },
        { "steps",
            { { { "count", 1 }, { "cpu", 5600 }, { "memMb", 23000 }, { "gpu", 1 }, { "estimatedMs", 2500 } } } } };
    if (deployment.client(0, "POST", "/a/" + longJob, longBody.dump()).status != 200)
        return 2;
    sleepMs(1000);
    if (isDisturbed && deployment.client(1, "POST", "/a/" + gang, gangBody.dump()).status != 200)
        return 2;
    sleepMs(500);
    if (deployment.client(2, "POST", "/b/" + job, jobBody.dump()).status != 200)
        return 2;
    record.line("the traffic ends here");
    const auto hasBegun = [&] {
        for (const auto& it : runLog.events()) {
            if (it.what == "start" && it.task.starts_with(job))
                return true;
        }
        return false;
    };
    // finish_s after the end of the traffic.
    sleepMs(14000);
    std::int64_t idleMs = 0;
    while (idleMs < 3500 && !hasBegun()) {
        // What runs on the executors: at most one task of the first job on each, that is 1 of 8 GPUs, 5.6 of 64 cores
        // and 23 of 128 GB. The job fits twice and more beside it on each of them.
        std::size_t inUse = 0;
        for (auto& it : deployment.executors)
            inUse += it->runs(longJob) ? 1 : 0;
        for (auto& it : deployment.executors) {
            if (it->runs(gang))
                return 2;
        }
        record.line("executors with one small task: " + std::to_string(inUse) + " of 6; nothing else runs");
        sleepMs(500);
        idleMs += 500;
    }
    for (const auto& path : { "/a/" + longJob, "/a/" + gang, "/b/" + job })
        (void)deployment.client(0, "GET", path, "", 2000);
    record.line("the job had nothing running for " + std::to_string(idleMs) + " ms, counted from finish_s on");
    return idleMs >= 3000 ? 1 : 0;
}

inline int runCase(const std::string& name, const DeploymentOptions& options, bool isDisturbed)
{
    if (name == "crashed-executor")
        return crashedExecutor(options, isDisturbed);
    if (name == "starved-job")
        return starvedJob(options, isDisturbed);
    return 2;
}

}
