// Reports, run ends and lost runs in Controller.
#include "lycheespool/controller/controller.h"

#include "lycheespool/core/event_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace lycheespool {

namespace {

// Number of ends from which a list of an agent that does not state its extent may omit later ends.
constexpr std::size_t endsOfFullList = 500;
constexpr auto startWindowMs = static_cast<std::uint64_t>(CrashLimits::startWindow.count());

constexpr std::string_view endName(RunEndKind kind)
{
    constexpr std::array<std::string_view, 6> names { "done", "failed", "stopped", "lapsed", "broken", "alone" };
    return names[static_cast<std::size_t>(kind)];
}

constexpr std::string_view executorStateName(ExecutorState state)
{
    constexpr std::array<std::string_view, 4> names { "absent", "ready", "draining", "departed" };
    return names[static_cast<std::size_t>(state)];
}

bool listsAllRuns(const NodeReport& report)
{
    if (report.listExtent == ListExtent::unstated)
        return report.ended.size() < endsOfFullList;
    return report.listExtent == ListExtent::complete;
}

/*! @brief The labels of an executor are its kind and its rack; the rack is the last one. */
std::string rackOf(const std::vector<std::string>& labels) { return labels.empty() ? std::string {} : labels.back(); }

}

void Controller::onReport(const NodeReport& report, const ClockReading& now)
{
    auto& node = m_nodes[report.node];
    if (node.node.empty())
        node.node = report.node;
    if (report.lifetime.isKnown() && report.lifetime != node.lifetime) {
        if (!replacesExecutor(node, report)) {
            ignoreReport(node, report);
            return;
        }
        adoptLifetime(node, report, now);
    } else if (node.state != report.state) {
        logEvent("executor_state_changed",
            { { "node", report.node }, { "executor", report.lifetime.executor },
                { "from", executorStateName(node.state) }, { "to", executorStateName(report.state) },
                { "remaining_ms", report.remainingMs } });
    }
    if (report.provesExecutor() && std::exchange(node.isLost, false)) {
        node.expiredRuns.clear();
        logEvent("executor_regained", { { "node", report.node }, { "executor", report.lifetime.executor } });
    }
    node.zone = report.zone;
    node.state = report.state;
    node.service = report.service;
    node.labels = report.labels;
    node.rack = rackOf(report.labels);
    node.capacity = report.capacity;
    node.lastReportAt = now.steady;
    node.isResponding = report.extendsLease;
    node.earliestDeparture.reset();
    if (report.state == ExecutorState::draining && report.remainingMs > 0)
        node.earliestDeparture = now.steady + std::chrono::milliseconds { report.remainingMs };
    // Lists that were delayed on another connection must not override newer ones.
    const bool isOutdated = report.listedAtMs < node.listedAtMs;
    // An agent repeats its latest list while the executor does not answer; runs may have been released since.
    const bool isRepeated = report.listedAtMs == node.listedAtMs;
    node.newestReportMs = std::max(node.newestReportMs, report.sentAtMs);
    node.listedAtMs = std::max(node.listedAtMs, report.listedAtMs);
    if (report.state == ExecutorState::departed || report.state == ExecutorState::absent) {
        // A departed executor ends at once, and all its runs end with it.
        const auto isDeparted = [&](const Lifetime& it) { return it == report.lifetime; };
        if (report.state == ExecutorState::departed)
            releaseLostRuns(report.node, isDeparted, "the executor departed", now);
        return;
    }
    if (report.listedAtMs == 0 || isOutdated)
        return;
    for (const auto& it : report.ended) {
        if (it.number > node.endsApplied)
            applyEnd(node, it, now);
    }
    if (!isRepeated)
        processRunningTasks(node, report, now);
    releaseUnlistedRuns(node, report);
}

/*! @brief Checks if a report is evidence that a lifetime has ended: the executor's address answers for a later one. */
bool Controller::showsEndOf(const Lifetime& lifetime, const NodeReport& report)
{
    // An agent that knew both lifetimes knows their order; clocks may have been set back between their starts.
    const bool isLater = lifetime == report.previousLifetime || lifetime.startedUnixMs < report.lifetime.startedUnixMs;
    return report.hasExecutorAnswer() && lifetime != report.lifetime && isLater;
}

/*! @brief Checks if the executor that a report names has taken the place of the known one. */
bool Controller::replacesExecutor(const ExecutorView& node, const NodeReport& report)
{
    if (!report.hasExecutorAnswer())
        return false;
    const bool hasExecutor = node.lifetime.isKnown() && !node.isLost && node.state != ExecutorState::departed;
    return !hasExecutor || showsEndOf(node.lifetime, report);
}

/*! @brief Records a report that is no evidence of a new executor; the known one keeps its runs. */
void Controller::ignoreReport(ExecutorView& node, const NodeReport& report)
{
    m_reportsIgnored.add();
    // The agent repeats its report at least once a second, so each lifetime is logged once.
    if (std::exchange(node.ignoredLifetime, report.lifetime) == report.lifetime)
        return;
    logEvent("report_ignored",
        { { "node", report.node }, { "executor", report.lifetime.executor }, { "born", report.lifetime.startedUnixMs },
            { "answered", report.hasExecutorAnswer() }, { "known_executor", node.lifetime.executor },
            { "known_born", node.lifetime.startedUnixMs }, { "sent_ms", report.sentAtMs },
            { "newest_report_ms", node.newestReportMs } });
}

/*! @brief Makes the reported lifetime the present one of its node, and releases runs that have ended before it. */
void Controller::adoptLifetime(ExecutorView& node, const NodeReport& report, const ClockReading& now)
{
    const auto hasEnded = [&](const Lifetime& it) { return showsEndOf(it, report); };
    releaseLostRuns(report.node, hasEnded, "the node reports a new lifetime of its executor", now, &report);
    for (const auto& key : node.expiredRuns) {
        auto* const job = findJob(key.task.job);
        if (job && node.lifetime == report.previousLifetime)
            recordLoss(*job, key, false, report.node, now);
    }
    const auto permitsExpireAt = node.permitsExpireAt;
    node = ExecutorView {};
    node.node = report.node;
    node.permitsExpireAt = permitsExpireAt;
    node.lifetime = report.lifetime;
    logEvent("executor_found",
        { { "node", report.node }, { "executor", report.lifetime.executor }, { "born", report.lifetime.startedUnixMs },
            { "zone", report.zone }, { "state", executorStateName(report.state) } });
}

void Controller::processRunningTasks(ExecutorView& node, const NodeReport& report, const ClockReading& now)
{
    std::map<RunKey, ExecutorView::UnknownRun> unknownRuns;
    for (const auto& it : report.running) {
        const auto name = parseTaskName(it.task);
        if (!name)
            continue;
        const RunKey key { *name, it.run };
        auto* const job = findJob(name->job);
        const auto live = m_runs.find(key);
        if (live == m_runs.end() || live->second.lifetime != node.lifetime) {
            const bool known = job && name->position.step < job->row.request.steps.size();
            auto& unknownRun = unknownRuns[key];
            if (known)
                unknownRun.charged = job->row.request.steps[name->position.step].charged();
            continue;
        }
        auto& run = live->second;
        if (job)
            markBegun(*job, now);
        if (run.phase != RunPhase::confirmed) {
            run.phase = RunPhase::confirmed;
            run.confirmedAt = now.steady;
            run.answeredAtMs = report.listedAtMs;
        }
        run.lastListedMs = report.listedAtMs;
        if (job && !run.wasAtWork && run.lastListedMs >= run.answeredAtMs + startWindowMs)
            recordAtWork(*job, key, run);
        if (it.percent != run.percent || run.percentListedMs == 0) {
            run.percent = it.percent;
            run.percentListedMs = report.listedAtMs;
        }
        if (it.checkpoint != run.checkpoint) {
            run.checkpoint = it.checkpoint;
            run.checkpointAt = now.steady;
        }
    }
    for (auto& [key, unknownRun] : unknownRuns) {
        const auto before = node.unknownRuns.find(key);
        if (before != node.unknownRuns.end())
            unknownRun.orderedAt = before->second.orderedAt;
        else
            logEvent("unknown_run_found",
                { { "task", key.task.toString() }, { "run", key.run }, { "node", node.node },
                    { "executor", node.lifetime.executor } });
    }
    node.unknownRuns = std::move(unknownRuns);
}

/*! @brief Records that a run has outlasted its start; stored, so that a later leader knows it as well. */
void Controller::recordAtWork(ManagedWorkload& job, const RunKey& key, LiveRun& run)
{
    run.wasAtWork = true;
    auto& placements = job.progress.at(key.task.position).placements;
    const auto it = std::ranges::find(placements, key.run, &RunPlacement::run);
    if (it == placements.end())
        return;
    it->wasAtWork = true;
    markChanged(job);
}

/*! @brief Releases runs that the executor had and that a later list no longer contains. */
void Controller::releaseUnlistedRuns(ExecutorView& node, const NodeReport& report)
{
    if (!listsAllRuns(report))
        return;
    std::set<RunKey> running;
    for (const auto& it : report.running) {
        if (auto name = parseTaskName(it.task))
            running.insert({ std::move(*name), it.run });
    }
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto current = it++;
        const auto& run = current->second;
        const bool settled = run.stopAnswered || run.phase == RunPhase::confirmed;
        if (run.lifetime != node.lifetime || !settled || running.contains(current->first))
            continue;
        if (report.listedAtMs <= run.answeredAtMs)
            continue;
        logEvent("run_absent",
            { { "task", current->first.task.toString() }, { "run", current->first.run }, { "node", node.node },
                { "reason", run.isStopping() ? run.stopReason : "no longer listed by the executor" } });
        releaseRun(current);
    }
}

/*! @brief Records an end that its executor lists. The acknowledgement is final, so the end of a run that was released
 * before counts as well. */
void Controller::applyEnd(ExecutorView& node, const RunEnd& end, const ClockReading& now)
{
    node.endsApplied = end.number;
    const auto name = parseTaskName(end.task);
    auto* const job = name ? findJob(name->job) : nullptr;
    const auto* const task = job ? job->progress.find(name->position) : nullptr;
    // The row of a task that is done names no latest run, so lastRun may be 0 under a later leader.
    if (!task || end.run == 0 || (end.run > task->lastRun && !task->done)) {
        m_endsWithoutRun.add();
        logEvent("end_without_run",
            { { "task", end.task }, { "run", end.run }, { "how", endName(end.kind) }, { "node", node.node },
                { "executor", node.lifetime.executor }, { "number", end.number }, { "job_known", job != nullptr },
                { "epoch", m_epoch.value() } });
        node.pendingEnds.push_back({ end.number, job ? job->id : std::string {}, job ? job->revision : 0 });
        return;
    }
    const RunKey key { *name, end.run };
    const auto it = m_runs.find(key);
    const bool isLive = it != m_runs.end() && it->second.lifetime == node.lifetime;
    node.expiredRuns.erase(key);
    logEvent("run_ended",
        { { "task", end.task }, { "run", end.run }, { "how", endName(end.kind) }, { "node", node.node },
            { "executor", node.lifetime.executor }, { "number", end.number },
            { "reason", isLive ? it->second.stopReason : std::string {} }, { "released", !isLive },
            { "task_done", task->done }, { "latest_run", task->lastRun } });
    if (isLive)
        applyEndOfLiveRun(node, *job, it, end, now);
    else
        applyEndOfReleasedRun(node, *job, key, end, now);
    node.pendingEnds.push_back({ end.number, job->id, job->revision });
}

void Controller::applyEndOfLiveRun(
    ExecutorView& node, ManagedWorkload& job, Runs::iterator it, const RunEnd& end, const ClockReading& now)
{
    const auto key = it->first;
    const auto& position = key.task.position;
    // The checkpoint of the end is newer than the one that was listed before.
    if (!end.checkpoint.empty())
        it->second.checkpoint = end.checkpoint;
    if (end.kind == RunEndKind::done)
        recordDuration(job, key, it->second, now);
    const auto run = it->second;
    // A run may begin and end between two lists.
    if (end.kind != RunEndKind::stopped)
        markBegun(job, now);
    releaseRun(it);
    if (end.kind != RunEndKind::failed)
        recordWork(node, run, now.steady);
    if (end.kind == RunEndKind::done) {
        m_runsDone.add();
        recordSuccess(node, run, now);
        if (!isEnded(job.progress.state))
            markDone(job, position, end.run, now);
        return;
    }
    if (end.kind == RunEndKind::failed)
        recordFailure(job, key, run, node, now);
    if (job.row.request.steps[position.step].isGang)
        stopGangOf(job, position, end.run, "another member of the gang ended");
}

/*! @brief Records the end of a run that the leader gave up before, or that an earlier leader did. */
void Controller::applyEndOfReleasedRun(
    ExecutorView& node, ManagedWorkload& job, const RunKey& key, const RunEnd& end, const ClockReading& now)
{
    const auto& position = key.task.position;
    auto& task = job.progress.at(position);
    if (isEnded(job.progress.state) || task.done)
        return;
    m_endsOfReleasedRuns.add();
    if (end.kind != RunEndKind::stopped)
        markBegun(job, now);
    if (end.kind == RunEndKind::done) {
        m_runsDone.add();
        markDone(job, position, end.run, now);
        return;
    }
    if (end.run == task.lastRun && !end.checkpoint.empty()) {
        recordCheckpoint(job, key, end.checkpoint);
        markChanged(job);
    }
    // An end that an earlier leader has counted is listed again until it is acknowledged.
    if (end.kind == RunEndKind::failed && !isFailureCounted(job, key) && knowsFailedRuns(job, position)) {
        LiveRun run;
        run.lifetime = node.lifetime;
        run.node = node.node;
        recordFailure(job, key, run, node, now);
    }
    const auto& step = job.row.request.steps[position.step];
    // The end may have spent the last attempt while a start of a later run was under way.
    if (job.progress.state == WorkloadState::failed) {
        for (std::uint32_t i = 0; i < step.tasks; ++i) {
            if (step.isGang || i == position.index)
                awaitOtherStarts(job, { position.occurrence, position.step, i }, end.run);
        }
    }
    if (step.isGang)
        stopGangOf(job, position, end.run, "another member of the gang ended");
}

/*! @brief Checks if an order that was sent may still make an executor begin a run. */
bool Controller::mayStillBegin(const RunKey& key) const
{
    const auto it = m_runs.find(key);
    return it != m_runs.end() && it->second.phase == RunPhase::ordered && it->second.possibleStarts > 0
        && !it->second.stopAnswered;
}

/**
 * @brief Holds back the completion of a job and the acknowledgement of its ends until the other runs of a finished task
 * have begun or cannot begin any more.
 *
 * An executor may carry out a start seconds after it was sent. An acknowledged end is final, so a start that follows it
 * does the work twice for certain.
 */
void Controller::awaitOtherStarts(ManagedWorkload& job, const TaskPosition& position, std::uint64_t run)
{
    for (const auto& it : job.progress.at(position).placements) {
        const RunKey key { { job.id, position }, it.run };
        if (it.run == run || !mayStillBegin(key) || !job.unsettledStarts.insert(key).second)
            continue;
        m_unsettledJobs.insert(job.id);
        m_startsUnsettled.add();
        logEvent("later_start_unsettled",
            { { "task", key.task.toString() }, { "run", key.run }, { "finished_run", run }, { "node", it.node },
                { "executor", it.lifetime.executor }, { "epoch", m_epoch.value() } });
    }
}

/*! @brief Completes jobs whose last unsettled start has begun or cannot begin any more. */
void Controller::settleStarts(const ClockReading& now)
{
    for (auto it = m_unsettledJobs.begin(); it != m_unsettledJobs.end();) {
        const auto current = it++;
        auto* const job = findJob(*current);
        if (job) {
            std::erase_if(job->unsettledStarts, [&](const RunKey& key) {
                if (mayStillBegin(key))
                    return false;
                const auto live = m_runs.find(key);
                const bool hasBegun = live != m_runs.end() && live->second.phase == RunPhase::confirmed;
                logEvent("later_start_settled",
                    { { "task", key.task.toString() }, { "run", key.run }, { "has_begun", hasBegun },
                        { "released", live == m_runs.end() }, { "epoch", m_epoch.value() } });
                return true;
            });
            if (!job->unsettledStarts.empty())
                continue;
            completeIfDone(*job, now);
        }
        m_unsettledJobs.erase(current);
    }
}

/*! @brief Records that an executor has begun a task of the job. */
void Controller::markBegun(ManagedWorkload& job, const ClockReading& now)
{
    if (job.progress.state != WorkloadState::pending)
        return;
    job.progress.state = WorkloadState::running;
    m_waitMs.record(static_cast<double>(now.unixMs - job.row.acceptedUnixMs));
    markChanged(job);
}

/*! @brief Completes a task, or all tasks of a gang, and stops their other runs. */
void Controller::markDone(
    ManagedWorkload& job, const TaskPosition& position, std::uint64_t run, const ClockReading& now)
{
    const auto& step = job.row.request.steps[position.step];
    if (step.isService)
        return;
    auto& round = job.round(position.occurrence, position.step);
    const auto finish = [&](std::uint32_t index) {
        const TaskPosition member { position.occurrence, position.step, index };
        auto& task = job.progress.at(member);
        for (const auto& it : task.placements) {
            // The members of the run that is done end by themselves.
            if (it.run != run)
                stopRun({ { job.id, member }, it.run }, "another run of the task is done");
        }
        awaitOtherStarts(job, member, run);
        if (std::exchange(task.done, true))
            return;
        --round.open;
        round.waiting.erase(index);
    };
    if (step.isGang) {
        // All members of a gang complete together, so the end of one member completes all of them.
        for (std::uint32_t i = 0; i < step.tasks; ++i)
            finish(i);
    } else {
        finish(position.index);
    }
    if (round.open == 0)
        m_speeds.addStep(std::exchange(round.runs, {}));
    markChanged(job);
    completeIfDone(job, now);
}

void Controller::recordCheckpoint(ManagedWorkload& job, const RunKey& key, const std::string& checkpoint)
{
    if (checkpoint.empty())
        return;
    job.progress.at(key.task.position).checkpoint = checkpoint;
}

/*! @brief Removes a run that no longer holds capacity; its task waits again unless it is done. */
void Controller::releaseRun(Runs::iterator it)
{
    const auto key = it->first;
    const auto run = it->second;
    m_runs.erase(it);
    auto* const job = findJob(key.task.job);
    if (!job)
        return;
    const auto& position = key.task.position;
    auto& task = job->progress.at(position);
    std::erase_if(task.placements, [&](const auto& placement) { return placement.run == key.run; });
    auto& round = job->round(position.occurrence, position.step);
    --round.live;
    recordCheckpoint(*job, key, run.checkpoint);
    if (!task.done && task.placements.empty())
        round.waiting.insert(position.index);
    markChanged(*job);
}

void Controller::stopRun(const RunKey& key, const std::string& reason)
{
    const auto it = m_runs.find(key);
    if (it == m_runs.end() || it->second.isStopping())
        return;
    it->second.stopReason = reason;
    it->second.orderedAt = neverOrdered;
    logEvent("run_stop_decided",
        { { "task", key.task.toString() }, { "run", key.run }, { "node", it->second.node }, { "reason", reason } });
}

void Controller::stopGangOf(
    ManagedWorkload& job, const TaskPosition& position, std::uint64_t run, const std::string& reason)
{
    const auto tasks = job.row.request.steps[position.step].tasks;
    for (std::uint32_t i = 0; i < tasks; ++i)
        stopRun({ { job.id, { position.occurrence, position.step, i } }, run }, reason);
}

/*! @brief Releases all runs of a node whose executor lifetimes have ended. */
template <std::predicate<const Lifetime&> HasEnded>
void Controller::releaseLostRuns(const std::string& node, const HasEnded& hasEnded, const std::string& reason,
    const ClockReading& now, const NodeReport* report)
{
    std::vector<RunKey> lost;
    std::set<std::string> startingJobs;
    for (const auto& [key, run] : m_runs) {
        if (run.node != node || !hasEnded(run.lifetime))
            continue;
        lost.push_back(key);
        if (hasJustStarted(run, report))
            startingJobs.insert(key.task.job);
    }
    const auto state = m_nodes[node].state;
    const bool isPlanned = state == ExecutorState::draining || state == ExecutorState::departed;
    for (const auto& key : lost) {
        const auto it = m_runs.find(key);
        m_runsLost.add();
        const bool isLoss = !isPlanned && countsAsLoss(it->second, report, startingJobs.size());
        const auto& run = it->second;
        // A start without an answer may have been sent to an executor that had crashed before.
        const bool causedCrash
            = startingJobs.size() == 1 && run.phase == RunPhase::confirmed && hasJustStarted(run, report);
        logEvent("run_lost",
            { { "task", key.task.toString() }, { "run", key.run }, { "node", node },
                { "executor", run.lifetime.executor }, { "reason", reason }, { "caused_crash", causedCrash },
                { "may_have_begun", run.mayHaveBegun() }, { "jobs_starting", startingJobs.size() },
                { "counted", isLoss }, { "witnessed", report && run.lifetime == report->previousLifetime },
                { "was_at_work", run.wasAtWork }, { "planned_in_term", run.plannedRevision > 0 },
                { "listed_ms", run.lastListedMs }, { "answered_ms", run.answeredAtMs } });
        releaseRun(it);
        auto* const job = findJob(key.task.job);
        if (!job)
            continue;
        if (isLoss)
            recordLoss(*job, key, causedCrash, node, now);
        if (job->row.request.steps[key.task.position.step].isGang)
            stopGangOf(*job, key.task.position, key.run, "a member of the gang was lost");
    }
}

/*! @brief Checks if the end of an executor's lifetime counts against a run that was placed there. */
bool Controller::countsAsLoss(const LiveRun& run, const NodeReport* report, std::size_t startingJobs)
{
    // Without a report of a newer lifetime the executor may have been cut off and still run.
    if (!report || !run.mayHaveBegun())
        return false;
    // A crash that the agent witnessed and no start explains counts for all that ran there.
    const bool isUnexplained = startingJobs == 0 && run.lifetime == report->previousLifetime;
    return !run.wasAtWork || isUnexplained;
}

/*! @brief Checks if a run may have been starting when its executor crashed, as its agent witnessed. */
bool Controller::hasJustStarted(const LiveRun& run, const NodeReport* report)
{
    // The start of a run of an earlier term is unknown.
    const bool isOfThisTerm = run.plannedRevision > 0;
    if (!report || !isOfThisTerm || !run.mayHaveBegun() || run.lifetime != report->previousLifetime)
        return false;
    return run.phase == RunPhase::ordered || report->previousLostAtMs <= run.answeredAtMs + startWindowMs;
}

/*! @brief Counts the loss of a run and gives its job up when its limit is reached. */
void Controller::recordLoss(
    ManagedWorkload& job, const RunKey& key, bool causedCrash, const std::string& node, const ClockReading& now)
{
    const auto& position = key.task.position;
    const auto& step = job.row.request.steps[position.step];
    auto& task = job.progress.at(position);
    if (step.isService || task.done || isEnded(job.progress.state))
        return;
    ++task.losses;
    if (causedCrash) {
        ++task.crashes;
        m_crashesAttributed.add();
        job.failedNodes.insert(node);
    }
    markChanged(job);
    const CrashCounts counts { task.crashes, task.losses };
    logEvent("loss_counted",
        { { "task", key.task.toString() }, { "run", key.run }, { "node", node }, { "crashes", counts.crashes },
            { "losses", counts.losses }, { "epoch", m_epoch.value() } });
    if (isCrashLimitReached(counts))
        endJob(job, WorkloadState::failed, "executors crashed under task " + key.task.toString(), now);
}

Duration Controller::grantPermit(const NodeReport& report, TimePoint now)
{
    auto& node = m_nodes[report.node];
    if (!report.provesExecutor() || report.lifetime != node.lifetime)
        return {};
    node.permitsExpireAt = now + m_settings.permitExpiryBound();
    return m_settings.permitDuration;
}

std::uint64_t Controller::endsStored(const std::string& node, const Lifetime& lifetime)
{
    auto& view = m_nodes[node];
    if (view.lifetime != lifetime)
        return 0;
    while (!view.pendingEnds.empty()) {
        const auto& end = view.pendingEnds.front();
        const auto* const job = end.job.empty() ? nullptr : findJob(end.job);
        if (job && (job->storedRevision < end.revision || !job->unsettledStarts.empty()))
            break;
        view.endsStored = end.number;
        view.pendingEnds.pop_front();
    }
    return view.endsStored;
}

void Controller::onOutcome(
    const std::string& node, const Lifetime& lifetime, const RunOrderOutcome& outcome, const ClockReading& now)
{
    const auto name = parseTaskName(outcome.task);
    if (!name)
        return;
    const RunKey key { *name, outcome.run };
    logEvent("order_answered",
        { { "task", outcome.task }, { "run", outcome.run }, { "node", node }, { "executor", lifetime.executor },
            { "result", static_cast<int>(outcome.result) }, { "reason", outcome.reason } });
    const auto it = m_runs.find(key);
    if (it == m_runs.end() || it->second.lifetime != lifetime)
        return;
    auto& run = it->second;
    if (!outcome.mayHaveBegun && run.possibleStarts > 0)
        --run.possibleStarts;
    switch (outcome.result) {
    case RunOrderResult::started:
        if (run.phase != RunPhase::confirmed) {
            run.phase = RunPhase::confirmed;
            run.confirmedAt = now.steady;
        }
        if (auto* const job = findJob(name->job))
            markBegun(*job, now);
        run.answeredAtMs = outcome.answeredAtMs;
        break;
    case RunOrderResult::stopped: {
        run.stopAnswered = true;
        run.answeredAtMs = outcome.answeredAtMs;
        auto* const job = findJob(name->job);
        if (!run.isStopping()) {
            run.stopReason = "start withdrawn: " + outcome.reason;
            if (outcome.reason != "expired")
                m_nodes[node].suspectedUntil = now.steady + m_settings.orderRetry;
            if (job && job->row.request.steps[name->position.step].isGang)
                stopGangOf(*job, name->position, key.run, "a member of the gang did not start");
        }
        break;
    }
    case RunOrderResult::unresolved:
    case RunOrderResult::wrongLifetime:
        // A start that no executor can have received needs no stop, and its task no wait for this executor. Other
        // unresolved orders are sent again; after a wrong lifetime, the next report releases the run.
        if (!outcome.mayHaveBegun && !run.mayHaveBegun())
            withdrawUnsentStart(it, outcome.reason, now);
        break;
    }
    settleStarts(now);
}

/*! @brief Releases a run whose start was sent to no executor; its task may start elsewhere at once. */
void Controller::withdrawUnsentStart(Runs::iterator it, const std::string& reason, const ClockReading& now)
{
    const auto key = it->first;
    m_nodes[it->second.node].suspectedUntil = now.steady + m_settings.orderRetry;
    logEvent("start_withdrawn",
        { { "task", key.task.toString() }, { "run", key.run }, { "node", it->second.node }, { "reason", reason } });
    releaseRun(it);
    auto* const job = findJob(key.task.job);
    if (job && job->row.request.steps[key.task.position.step].isGang)
        stopGangOf(*job, key.task.position, key.run, "a member of the gang did not start");
}

void Controller::superviseRuns(const ClockReading& now)
{
    for (auto& [name, node] : m_nodes) {
        if (!node.isLost && node.lifetime.isKnown() && now.steady > node.permitsExpireAt
            && now.steady > m_startedAt + m_settings.previousPermitsExpiryBound()) {
            node.isLost = true;
            logEvent("executor_lost",
                { { "node", name }, { "executor", node.lifetime.executor },
                    { "agent_silent_ms",
                        std::chrono::duration_cast<std::chrono::milliseconds>(now.steady - node.lastReportAt).count() },
                    { "lists_age_ms", node.newestReportMs - node.listedAtMs } });
            if (node.state == ExecutorState::ready) {
                for (const auto& [key, run] : m_runs) {
                    if (run.lifetime == node.lifetime && run.mayHaveBegun())
                        node.expiredRuns.insert(key);
                }
            }
            const auto hasNoPermit = [](const Lifetime&) { return true; };
            releaseLostRuns(name, hasNoPermit, "the permits of the node expired", now);
        }
    }
    // Lifetimes that no report of this term has named or shown to have ended may still hold permits of the previous
    // leader.
    if (now.steady > m_startedAt + m_settings.previousPermitsExpiryBound()) {
        std::set<std::string> nodes;
        for (const auto& [key, run] : m_runs) {
            const auto it = m_nodes.find(run.node);
            if (it == m_nodes.end() || it->second.lifetime != run.lifetime)
                nodes.insert(run.node);
        }
        for (const auto& name : nodes) {
            const auto isUnreported = [present = m_nodes[name].lifetime](const Lifetime& it) { return it != present; };
            releaseLostRuns(name, isUnreported, "the node has not reported the executor in this term", now);
        }
    }
    for (auto& [key, run] : m_runs) {
        if (const auto node = m_nodes.find(run.node); node != m_nodes.end())
            recordWork(node->second, run, now.steady);
        stopStalled(key, run, now);
        moveFromDepartingNode(key, run, now);
    }
    settleStarts(now);
}

}
