// Reports, ends and losses of runs in Controller.
#include "lycheespool/controller/controller.h"

#include "lycheespool/core/event_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace lycheespool {

namespace {

// An executor returns its list of ends in pieces of this size; a full piece may hide later ends.
constexpr std::size_t endsPerList = 500;

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

/*! @brief The labels of an executor are its kind and its rack; the rack is the last one. */
std::string rackOf(const std::vector<std::string>& labels) { return labels.empty() ? std::string {} : labels.back(); }

}

void Controller::onReport(const NodeReport& report, const Moment& now)
{
    auto& node = m_nodes[report.node];
    if (node.node.empty())
        node.node = report.node;
    if (report.lifetime.isKnown() && report.lifetime != node.lifetime) {
        loseLifetime(report.node, report.lifetime, "the node runs another lifetime of its executor");
        const auto permitsEndAt = node.permitsEndAt;
        node = ExecutorView {};
        node.node = report.node;
        node.permitsEndAt = permitsEndAt;
        node.lifetime = report.lifetime;
        logEvent("executor_found",
            { { "node", report.node }, { "executor", report.lifetime.executor },
                { "born", report.lifetime.startedUnixMs }, { "zone", report.zone },
                { "state", executorStateName(report.state) } });
    } else if (node.state != report.state) {
        logEvent("executor_state_changed",
            { { "node", report.node }, { "executor", report.lifetime.executor },
                { "from", executorStateName(node.state) }, { "to", executorStateName(report.state) },
                { "remaining_ms", report.remainingMs } });
    }
    if (report.extendsLease && std::exchange(node.isLost, false))
        logEvent("executor_regained", { { "node", report.node }, { "executor", report.lifetime.executor } });
    node.zone = report.zone;
    node.state = report.state;
    node.service = report.service;
    node.labels = report.labels;
    node.rack = rackOf(report.labels);
    node.capacity = report.capacity;
    node.heardAt = now.steady;
    node.staysUntil.reset();
    if (report.state == ExecutorState::draining && report.remainingMs > 0)
        node.staysUntil = now.steady + std::chrono::milliseconds { report.remainingMs };
    // Lists that another connection delayed say nothing about runs that newer ones show.
    const bool isOutdated = report.listedAtMs < node.listedAtMs;
    node.newestReportMs = std::max(node.newestReportMs, report.sentAtMs);
    node.listedAtMs = std::max(node.listedAtMs, report.listedAtMs);
    if (report.state == ExecutorState::departed || report.state == ExecutorState::absent) {
        // A departed executor ends at once and takes everything that it runs with it.
        if (report.state == ExecutorState::departed)
            loseLifetime(report.node, {}, "the executor departed");
        return;
    }
    if (report.listedAtMs == 0 || isOutdated)
        return;
    for (const auto& it : report.ended) {
        if (it.number > node.endsApplied)
            applyEnd(node, it, now);
    }
    readRunning(node, report, now);
    releaseAbsent(node, report);
}

void Controller::readRunning(ExecutorView& node, const NodeReport& report, const Moment& now)
{
    std::map<RunKey, ExecutorView::Stray> strays;
    for (const auto& it : report.running) {
        const auto name = parseTaskName(it.task);
        if (!name)
            continue;
        const RunKey key { *name, it.run };
        auto* const job = findJob(name->job);
        const auto live = m_runs.find(key);
        if (live == m_runs.end() || live->second.lifetime != node.lifetime) {
            const bool known = job && name->position.step < job->row.request.steps.size();
            auto& stray = strays[key];
            if (known)
                stray.charged = job->row.request.steps[name->position.step].charged();
            continue;
        }
        auto& run = live->second;
        if (run.phase != RunPhase::confirmed) {
            run.phase = RunPhase::confirmed;
            run.confirmedAt = now.steady;
            run.answeredAtMs = report.listedAtMs;
        }
        if (it.percent != run.percent || run.percentListedMs == 0) {
            run.percent = it.percent;
            run.percentListedMs = report.listedAtMs;
        }
        if (it.checkpoint != run.checkpoint) {
            run.checkpoint = it.checkpoint;
            run.checkpointAt = now.steady;
        }
    }
    for (auto& [key, stray] : strays) {
        const auto before = node.strays.find(key);
        if (before != node.strays.end())
            stray.orderedAt = before->second.orderedAt;
        else
            logEvent("unknown_run_found",
                { { "task", key.task.toString() }, { "run", key.run }, { "node", node.node },
                    { "executor", node.lifetime.executor } });
    }
    node.strays = std::move(strays);
}

/*! @brief Releases runs that the executor had and that a later list does not show any more. */
void Controller::releaseAbsent(ExecutorView& node, const NodeReport& report)
{
    if (report.ended.size() >= endsPerList)
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
                { "reason", run.isStopping() ? run.stopReason : "not listed any more" } });
        releaseRun(current);
    }
}

void Controller::applyEnd(ExecutorView& node, const RunEnd& end, const Moment& now)
{
    node.endsApplied = end.number;
    const auto name = parseTaskName(end.task);
    auto* const job = name ? findJob(name->job) : nullptr;
    if (!job) {
        node.pendingEnds.push_back({ end.number, {}, 0 });
        return;
    }
    const RunKey key { *name, end.run };
    const auto it = m_runs.find(key);
    if (it != m_runs.end() && it->second.lifetime == node.lifetime) {
        logEvent("run_ended",
            { { "task", end.task }, { "run", end.run }, { "how", endName(end.kind) }, { "node", node.node },
                { "executor", node.lifetime.executor }, { "number", end.number },
                { "reason", it->second.stopReason } });
        const auto& position = key.task.position;
        const bool isGang = job->row.request.steps[position.step].isGang;
        keepCheckpoint(*job, key, end.checkpoint);
        if (end.kind == RunEndKind::done)
            learnDuration(*job, key, it->second, now);
        releaseRun(it);
        if (end.kind == RunEndKind::done) {
            m_runsDone.add();
            node.failedJobs.clear();
            node.failuresInARow = 0;
            node.suspectUntil = {};
            if (!isEnded(job->progress.state))
                markDone(*job, position, now);
        } else {
            if (end.kind == RunEndKind::failed)
                countFailure(*job, key, node, now);
            if (isGang)
                stopGangOf(*job, position, end.run, "another member of the gang ended");
        }
    }
    node.pendingEnds.push_back({ end.number, job->id, job->revision });
}

void Controller::markDone(ManagedWorkload& job, const TaskPosition& position, const Moment& now)
{
    const auto& step = job.row.request.steps[position.step];
    if (step.isService)
        return;
    auto& round = job.round(position.occurrence, position.step);
    const auto finish = [&](std::uint32_t index) {
        auto& task = job.progress.at({ position.occurrence, position.step, index });
        if (std::exchange(task.done, true))
            return;
        --round.open;
        round.waiting.erase(index);
    };
    if (step.isGang) {
        // The members of a gang are done together, and the end of one of them stands for all.
        for (std::uint32_t i = 0; i < step.tasks; ++i)
            finish(i);
    } else {
        finish(position.index);
        // Further copies of the task are of no use.
        for (const auto& it : job.progress.at(position).placements)
            stopRun({ { job.id, position }, it.run }, "another copy is done");
    }
    if (round.open == 0)
        m_speeds.addStep(std::exchange(round.runs, {}));
    changed(job);
    completeIfDone(job, now);
}

void Controller::keepCheckpoint(ManagedWorkload& job, const RunKey& key, const std::string& checkpoint)
{
    if (checkpoint.empty())
        return;
    job.progress.at(key.task.position).checkpoint = checkpoint;
}

/*! @brief Removes a run that takes no capacity any more; its task waits again unless it is done. */
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
    keepCheckpoint(*job, key, run.checkpoint);
    if (!task.done && task.placements.empty())
        round.waiting.insert(position.index);
    changed(*job);
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

/*! @brief Releases all runs of a node that belong to another lifetime than the present one. */
void Controller::loseLifetime(const std::string& node, const Lifetime& present, const std::string& reason)
{
    std::vector<RunKey> lost;
    for (const auto& [key, run] : m_runs) {
        if (run.node == node && run.lifetime != present)
            lost.push_back(key);
    }
    for (const auto& key : lost) {
        const auto it = m_runs.find(key);
        m_runsLost.add();
        logEvent("run_lost",
            { { "task", key.task.toString() }, { "run", key.run }, { "node", node },
                { "executor", it->second.lifetime.executor }, { "reason", reason } });
        releaseRun(it);
        auto* const job = findJob(key.task.job);
        if (job && job->row.request.steps[key.task.position.step].isGang)
            stopGangOf(*job, key.task.position, key.run, "a member of the gang was lost");
    }
}

void Controller::grantPermit(const std::string& node, TimePoint now)
{
    m_nodes[node].permitsEndAt = now + m_settings.permitEnd();
}

std::uint64_t Controller::endsStored(const std::string& node)
{
    auto& view = m_nodes[node];
    while (!view.pendingEnds.empty()) {
        const auto& end = view.pendingEnds.front();
        const auto* const job = end.job.empty() ? nullptr : findJob(end.job);
        if (job && job->storedRevision < end.revision)
            break;
        view.endsStored = end.number;
        view.pendingEnds.pop_front();
    }
    return view.endsStored;
}

void Controller::onOutcome(
    const std::string& node, const Lifetime& lifetime, const RunOrderOutcome& outcome, const Moment& now)
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
    switch (outcome.result) {
    case RunOrderResult::started:
        if (run.phase != RunPhase::confirmed) {
            run.phase = RunPhase::confirmed;
            run.confirmedAt = now.steady;
        }
        run.answeredAtMs = outcome.answeredAtMs;
        break;
    case RunOrderResult::stopped: {
        run.stopAnswered = true;
        run.answeredAtMs = outcome.answeredAtMs;
        auto* const job = findJob(name->job);
        if (!run.isStopping()) {
            run.stopReason = "withdrawn: " + outcome.reason;
            if (outcome.reason != "expired")
                m_nodes[node].suspectUntil = now.steady + m_settings.orderRetry;
            if (job && job->row.request.steps[name->position.step].isGang)
                stopGangOf(*job, name->position, key.run, "a member of the gang did not start");
        }
        break;
    }
    case RunOrderResult::unresolved:
    case RunOrderResult::wrongLifetime:
        // An unresolved order is sent again; the next report names the present lifetime, which releases the run.
        break;
    }
}

void Controller::expire(const Moment& now)
{
    for (auto& [name, node] : m_nodes) {
        if (!node.isLost && node.lifetime.isKnown() && now.steady > node.permitsEndAt
            && now.steady > m_startedAt + m_settings.previousPermitsEnd()) {
            node.isLost = true;
            logEvent("executor_lost",
                { { "node", name }, { "executor", node.lifetime.executor },
                    { "agent_silent_ms",
                        std::chrono::duration_cast<std::chrono::milliseconds>(now.steady - node.heardAt).count() },
                    { "lists_age_ms", node.newestReportMs - node.listedAtMs } });
            loseLifetime(name, {}, "the permits of the node ran out");
        }
    }
    // Nodes that never reported in this term may hold permits of the previous leader.
    if (now.steady > m_startedAt + m_settings.previousPermitsEnd()) {
        std::set<std::string> silent;
        for (const auto& [key, run] : m_runs) {
            const auto it = m_nodes.find(run.node);
            if (it == m_nodes.end() || !it->second.lifetime.isKnown())
                silent.insert(run.node);
        }
        for (const auto& it : silent)
            loseLifetime(it, {}, "the node never reported to this leader");
    }
    for (auto& [key, run] : m_runs) {
        stopStalled(key, run, now);
        moveFromLeaving(key, run, now);
    }
}

}
