// Queue order, placement and run orders in Controller.
#include "lycheespool/controller/controller.h"

#include "lycheespool/core/event_log.h"
#include "lycheespool/dispatch/preemption.h"
#include "lycheespool/dispatch/retry_timing.h"
#include "lycheespool/dispatch/start_planner.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>
#include <utility>

namespace lycheespool {

namespace {

// Lost work is priced in core-seconds; one accelerator counts as this many cores.
constexpr double coresPerAccelerator = 8;
// A job that failed on more nodes than this, and on more than one in avoidedNodesOneIn of all nodes, probably causes
// the failures itself; its nodes are no longer avoided.
constexpr std::size_t maxAvoidedNodes = 6;
constexpr std::size_t avoidedNodesOneIn = 4;
// Longest time that a guaranteed gang waits for a single rack before its first start; that start must happen within the
// reclaim bound of about 2.7 s.
constexpr std::int64_t guaranteedRackWaitMs = 1000;
// Longest time that work waits for executors on which its job has not failed, jobs with nothing running for executors
// that are not reserved, and service tasks for unsuspected ones or for their rack; work must run again within 3 s if
// there is room, and a start takes up to 0.5 s.
constexpr std::int64_t maxAvoidanceMs = 2000;
// Deviations by which a task that uses reserved resources must be expected to end before they are needed; most of those
// that do not yield with their work lost.
constexpr double backfillDeviations = 1;
// A service task is at work when its percent is 100.
constexpr std::uint32_t percentAtWork = 100;

/*! @brief Returns the number of a waiting step, 0 if it does not wait. */
std::size_t numberOf(const std::optional<TaskName>& name, const std::map<TaskName, std::size_t>& steps)
{
    const auto it = name ? steps.find(*name) : steps.end();
    return it == steps.end() ? 0 : it->second;
}

double coreEquivalent(const ResourceVector& amount)
{
    return static_cast<double>(amount.milliCores) / 1000.0
        + coresPerAccelerator * static_cast<double>(amount.accelerators);
}

}

TaskName Controller::WaitingStep::name() const { return { job->id, { occurrence, step, 0 } }; }

bool Controller::acceptsWork(const ExecutorView& node, TimePoint now) const
{
    // Outdated lists mean that the executor does not answer its agent.
    const bool answers = node.listedAtMs > 0
        && std::chrono::milliseconds { node.newestReportMs - node.listedAtMs } <= m_settings.maxContactAge;
    return answers && node.isResponding && node.state == ExecutorState::ready && !node.isLost
        && now - node.lastReportAt <= m_settings.maxContactAge && !m_zonesOutOfService.contains(node.zone);
}

/*! @brief Finds the jobs of priority 0 that fit into their workspaces' guarantees; older jobs are counted first. */
std::set<std::string> Controller::guaranteedJobs() const
{
    std::vector<const ManagedWorkload*> urgent;
    for (const auto& [id, job] : m_jobs) {
        if (!isEnded(job.progress.state) && policyOf(job).priority == 0)
            urgent.push_back(&job);
    }
    std::ranges::sort(urgent, {}, [](const auto* it) { return std::pair { it->row.acceptedUnixMs, it->id }; });
    std::map<std::string, std::int64_t> claimed;
    std::set<std::string> covered;
    for (const auto* job : urgent) {
        std::int64_t need = 0;
        for (const auto& step : job->row.request.steps)
            need = std::max(need, step.perTask.accelerators * step.tasks);
        const auto* const workspace = m_config->workspace(job->row.workspace);
        auto& used = claimed[job->row.workspace];
        if (!workspace || used + need > workspace->guaranteedAccelerators)
            continue;
        used += need;
        covered.insert(job->id);
    }
    return covered;
}

std::vector<Controller::WaitingStep> Controller::waitingSteps(
    const ClockReading& now, std::optional<std::int64_t>& nextDue)
{
    std::vector<WaitingStep> waiting;
    const auto guaranteed = guaranteedJobs();
    for (auto& [id, job] : m_jobs) {
        if (isEnded(job.progress.state) || now.steady < job.heldUntil)
            continue;
        const auto& request = job.row.request;
        if (const auto fault = findRowFault(job)) {
            endJob(job, WorkloadState::failed, *fault, now);
            continue;
        }
        for (std::uint32_t k = 0; k < request.occurrenceCount(); ++k) {
            auto since = job.row.acceptedUnixMs;
            if (request.occurrences > 0) {
                since = request.firstDueUnixMs + request.intervalMs * k;
                if (now.unixMs < since) {
                    nextDue = std::min(nextDue.value_or(since), since);
                    break;
                }
            }
            for (std::uint32_t s = 0; s < request.steps.size(); ++s) {
                auto& round = job.round(k, s);
                const auto& step = request.steps[s];
                const bool startable
                    = step.isGang ? round.live == 0 && round.waiting.size() == step.tasks : !round.waiting.empty();
                const bool ready = startable
                    && std::ranges::all_of(step.after, [&](auto before) { return job.round(k, before).open == 0; });
                if (!ready) {
                    round.readySinceMs.reset();
                    continue;
                }
                if (!round.readySinceMs)
                    round.readySinceMs = now.unixMs;
                addStartRequests(waiting, job, k, s, guaranteed.contains(id), now.unixMs - since,
                    now.unixMs - *round.readySinceMs, now.steady);
            }
        }
    }
    std::ranges::sort(waiting, {}, [](const auto& it) {
        return std::tuple { it.rank, std::string_view { it.job->id }, it.occurrence, it.step,
            !it.request.prefersReliable };
    });
    return waiting;
}

/*! @brief Forecasts the critical path from the start of each step to the end of the job, ms. */
std::vector<double> Controller::criticalPathsMs(const ManagedWorkload& job) const
{
    const auto& steps = job.row.request.steps;
    std::vector<double> times(steps.size(), 0);
    for (std::size_t i = times.size(); i-- > 0;) {
        times[i] += forecastOf(job, steps[i]).expectedMs;
        for (const auto before : steps[i].after)
            times[before] = std::max(times[before], times[i]);
    }
    return times;
}

void Controller::addStartRequests(std::vector<WaitingStep>& steps, ManagedWorkload& job, std::uint32_t occurrence,
    std::uint32_t step, bool isGuaranteed, std::int64_t ageMs, std::int64_t readyMs, TimePoint now)
{
    const auto& spec = job.row.request.steps[step];
    const auto& policy = policyOf(job);
    const auto criticalPaths = criticalPathsMs(job);
    const auto remaining = static_cast<std::int64_t>(criticalPaths[step]);
    const auto objective = static_cast<std::int64_t>(policy.slowdownFactor * *std::ranges::max_element(criticalPaths))
        + policy.targetLatencyMs;
    const auto forecast = forecastOf(job, spec);
    const auto uncertainty = std::exp(forecast.spread);
    const bool hasNothingRunning = std::ranges::all_of(job.rounds, [](const auto& it) { return it.live == 0; });

    StartRequest request;
    request.perTask = spec.charged();
    request.isGang = spec.isGang;
    request.prefersOneRack = spec.prefersOneRack && spec.tasks > 1;
    request.requiredLabel = spec.requiredLabel;
    request.dataRack = spec.dataRack;
    request.maxPerNode = spec.maxPerExecutor;
    request.mayEvict = isGuaranteed;
    request.evictsServiceTasks = isGuaranteed;
    request.speedWeight
        = policy.priority == 0 ? m_settings.policy.urgentSpeedWeight : m_settings.policy.normalSpeedWeight;
    // Waiting for the preferred rack pays off until the wait exceeds a share of the extra run time elsewhere. Time that
    // the job spent on earlier steps or on a lost run does not count as waiting.
    const auto remoteCost = (m_settings.bounds.remoteFactor - 1) * forecast.expectedMs;
    request.hasStartBound = isGuaranteed && !job.wasPlanned;
    request.acceptsRemote = !m_settings.policy.waitsForRack
        || static_cast<double>(readyMs) > remoteCost * m_settings.policy.rackWaitShare
        || (request.hasStartBound && ageMs > guaranteedRackWaitMs) || (spec.isService && readyMs >= maxAvoidanceMs);
    request.acceptsAvoided = readyMs >= maxAvoidanceMs;
    request.acceptsSuspected = spec.isService && request.acceptsAvoided;
    request.isService = spec.isService;
    request.isStarved = readyMs >= maxAvoidanceMs && (spec.isService || hasNothingRunning);
    if (!spec.isService && forecast.expectedMs > 0)
        request.runTimeMs = forecast.upperMs(backfillDeviations);

    // No task of a gang runs while the gang waits, so its task counts per executor start at zero.
    for (std::uint32_t i = 0; i < spec.tasks && !spec.isGang && spec.maxPerExecutor > 0; ++i) {
        for (const auto& it : job.progress.at({ occurrence, step, i }).placements)
            ++request.tasksOn[it.node];
    }
    const auto ownWork = coreEquivalent(request.perTask) * spec.tasks * static_cast<double>(remaining) / 1000.0;
    const auto preemption = preemptionFor(
        { policy.priority, ageMs, objective, remaining, uncertainty, ownWork }, m_settings.policy.preemption);
    if (!isGuaranteed && preemption.mayEvict) {
        request.mayEvict = true;
        request.evictsAboveTier = policy.priority + 1;
        request.evictionBudget = preemption.budget;
    }
    const RankInput input { policy.priority, isGuaranteed, ageMs, objective, remaining, uncertainty };
    const auto rank = m_settings.policy.ordersBySlack ? rankOf(input) : rankByAge(input);
    if (m_settings.policy.avoidsFailedNodes
        && job.failedNodes.size() <= std::max(maxAvoidedNodes, m_nodes.size() / avoidedNodesOneIn))
        request.avoidedNodes = job.failedNodes;
    addRequestsByFailures(steps, { rank, input, readyMs, &job, occurrence, step, {}, std::move(request) }, now);
}

/*! @brief Splits a waiting step into a request for the tasks that failed before, which wait for evidence of which
 * executors work, and one for the others. */
void Controller::addRequestsByFailures(std::vector<WaitingStep>& steps, WaitingStep step, TimePoint now)
{
    const auto& job = *step.job;
    const auto& spec = job.row.request.steps[step.step];
    const auto& policy = m_settings.policy;
    const auto maxAttempts = policyOf(job).maxAttempts;
    // Service tasks are started again however often they fail.
    const bool limitsAttempts = policy.protectsLastAttempt && !spec.isService;
    const auto& round = step.job->round(step.occurrence, step.step);
    const auto timing = retryTiming(step.input, policy.retry);
    auto room = startableTasks(job);
    const auto failuresOf = [&](std::uint32_t i) {
        return spec.isGang ? round.gangFailures : job.progress.at({ step.occurrence, step.step, i }).failures;
    };
    const auto sinceFailure = [&](std::uint32_t i) {
        const auto it = round.failedAt.find(spec.isGang ? 0 : i);
        return it == round.failedAt.end() ? Duration::max() : now - it->second;
    };
    auto retry = step;
    auto& request = retry.request;
    request.prefersReliable = true;
    request.acceptsUnproven = false;
    request.acceptsAvoided = false;
    for (const auto i : round.waiting) {
        if (failuresOf(i) == 0) {
            if (takeRowRoom(job, { step.occurrence, step.step, i }, room))
                step.indices.push_back(i);
        } else if (sinceFailure(i) >= timing.delay) {
            retry.indices.push_back(i);
            request.isLastAttempt = request.isLastAttempt || (limitsAttempts && failuresOf(i) + 1 >= maxAttempts);
            request.acceptsUnproven = request.acceptsUnproven || sinceFailure(i) >= timing.provenWait;
            request.acceptsAvoided = request.acceptsAvoided
                || (step.readyMs >= maxAvoidanceMs && sinceFailure(i) >= std::chrono::milliseconds { maxAvoidanceMs });
        }
    }
    // A gang starts whole or not at all, so room for a part of it is no use.
    if (spec.isGang && step.indices.size() < spec.tasks)
        step.indices.clear();
    request.acceptsSuspected = spec.isService && request.acceptsAvoided;
    request.isStarved = request.isStarved && request.acceptsAvoided;
    const auto add = [&](WaitingStep it) {
        it.request.tasks = static_cast<std::uint32_t>(it.indices.size());
        if (!it.indices.empty())
            steps.push_back(std::move(it));
    };
    // A limit per executor applies to all tasks of the step, so one plan has only one request of such a step.
    const bool isOneRequest = spec.maxPerExecutor > 0 && !retry.indices.empty();
    add(std::move(retry));
    if (!isOneRequest)
        add(std::move(step));
}

double Controller::evictionCost(const RunKey& key, const LiveRun& run, TimePoint now) const
{
    if (run.phase != RunPhase::confirmed)
        return 0;
    const auto saved = std::max(run.confirmedAt, run.checkpointAt);
    const auto seconds = std::chrono::duration<double> { now - saved }.count();
    const auto it = m_jobs.find(key.task.job);
    const bool urgent = it != m_jobs.end() && policyOf(it->second).priority == 0;
    return std::max(0.0, seconds) * coreEquivalent(run.charged)
        * (urgent ? m_settings.policy.urgentEvictionFactor : 1.0);
}

std::optional<std::int64_t> Controller::plan(const ClockReading& now)
{
    for (const auto& [name, node] : m_nodes) {
        m_maxExecutorBytes = std::max(m_maxExecutorBytes, node.lifetime.executor.size());
        m_maxNodeBytes = std::max(m_maxNodeBytes, name.size());
    }
    std::optional<std::int64_t> nextDue;
    auto waiting = waitingSteps(now, nextDue);
    StepNumbers steps;
    for (auto& it : waiting)
        it.request.step = steps.try_emplace(it.name(), steps.size() + 1).first->second;
    std::erase_if(m_reservingSteps, [&](const auto& it) { return !steps.contains(it); });
    std::erase_if(m_delayedSteps, [&](const auto& it) { return !steps.contains(it.first); });
    if (waiting.empty())
        return nextDue;
    // Only starved work depends on the times at which other work ends, and forecasts for all runs take long.
    const bool hasStarved = std::ranges::any_of(waiting, [](const auto& it) { return it.request.isStarved; });
    const auto evictable = evictableRuns(steps, hasStarved, now.steady);
    for (auto& [service, nodes] : plannerNodes(evictable, now.steady))
        planService(service, std::move(nodes), evictable, waiting, now);
    return nextDue;
}

/*! @brief Returns the number of service tasks of a step that are not at work, for whatever reason. */
std::size_t Controller::unavailableTasks(const ManagedWorkload& job, const TaskPosition& position, TimePoint now) const
{
    const auto& step = job.row.request.steps[position.step];
    const auto isInContact = [&](const LiveRun& run) {
        const auto node = m_nodes.find(run.node);
        return node != m_nodes.end() && node->second.lifetime == run.lifetime && acceptsWork(node->second, now);
    };
    std::size_t away = 0;
    for (std::uint32_t i = 0; i < step.tasks; ++i) {
        const TaskPosition task { position.occurrence, position.step, i };
        const bool isAtWork = std::ranges::any_of(job.progress.at(task).placements, [&](const auto& placement) {
            const auto it = m_runs.find({ { job.id, task }, placement.run });
            return it != m_runs.end() && it->second.phase == RunPhase::confirmed && !it->second.isStopping()
                && it->second.percent >= percentAtWork && isInContact(it->second);
        });
        away += !isAtWork;
    }
    return away;
}

/*! @brief Collects the runs that other work may evict; the members of a gang share a group and its whole cost. */
Controller::EvictableRuns Controller::evictableRuns(const StepNumbers& steps, bool withForecasts, TimePoint now) const
{
    EvictableRuns runs;
    runs.hasForecasts = withForecasts;
    const auto guaranteed = guaranteedJobs();
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t, std::uint64_t>, std::size_t> groups;
    std::map<std::size_t, double> groupCost;
    // Number and unavailable tasks of each step that limits its unavailable tasks.
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::pair<std::size_t, std::size_t>> limits;
    for (const auto& [key, run] : m_runs) {
        if (run.isStopping() || guaranteed.contains(key.task.job))
            continue;
        const auto& job = m_jobs.at(key.task.job);
        const auto& step = job.row.request.steps[key.task.position.step];
        EvictableRun it { runs.keys.size(), 0, policyOf(job).priority + 1, run.charged, evictionCost(key, run, now) };
        it.isService = step.isService;
        it.yieldsTo = numberOf(run.yieldsTo, steps);
        if (withForecasts)
            it.remainingMs = timeUntilReleaseMs(key, run, now);
        if (step.isService && step.maxUnavailable > 0) {
            const auto& position = key.task.position;
            const auto [limit, isNew] = limits.try_emplace({ key.task.job, position.occurrence, position.step });
            if (isNew)
                limit->second = { limits.size(), unavailableTasks(job, position, now) };
            const auto [number, away] = limit->second;
            const std::size_t most = step.maxUnavailable;
            const bool isAway = run.phase != RunPhase::confirmed || run.percent < percentAtWork;
            // The stop of a task that is unavailable already adds none, but it may be at work since its latest list.
            const bool addsNone = isAway && !step.isGang && away <= most;
            if (!addsNone && away + (step.isGang ? step.tasks : 1) > most)
                continue;
            it.limitedStep = addsNone ? 0 : number;
            it.stopsLeft = addsNone ? 0 : most - away;
        }
        if (step.isGang) {
            const std::tuple group { key.task.job, key.task.position.occurrence, key.task.position.step, key.run };
            it.group = groups.try_emplace(group, groups.size() + 1).first->second;
            groupCost[it.group] += it.unsavedCoreSeconds;
        }
        runs.keys.push_back(key);
        runs.byLifetime[run.lifetime].push_back(it);
    }
    for (auto& [lifetime, entries] : runs.byLifetime) {
        for (auto& it : entries) {
            if (it.group != 0)
                it.unsavedCoreSeconds = groupCost[it.group];
        }
    }
    return runs;
}

/*! @brief Describes the nodes that accept work to the planner, by service. */
std::map<std::string, std::vector<NodeCapacity>> Controller::plannerNodes(
    const EvictableRuns& evictable, TimePoint now) const
{
    std::map<Lifetime, ResourceVector> busy;
    std::map<Lifetime, std::vector<ExpectedRelease>> releases;
    std::map<Lifetime, ResourceVector> releasing;
    std::map<Lifetime, ResourceVector> heldByServiceTasks;
    std::map<Lifetime, std::size_t> trials;
    std::map<Lifetime, std::size_t> counts;
    for (const auto& [key, run] : m_runs) {
        busy[run.lifetime] += run.charged;
        ++counts[run.lifetime];
        // The keys are in the order of the runs.
        if (evictable.hasForecasts && !std::ranges::binary_search(evictable.keys, key))
            releases[run.lifetime].push_back({ run.charged, timeUntilReleaseMs(key, run, now) });
        if (!showsWork(run, now))
            ++trials[run.lifetime];
        if (run.isStopping())
            releasing[run.lifetime] += run.charged;
        else if (m_jobs.at(key.task.job).row.request.steps[key.task.position.step].isService)
            heldByServiceTasks[run.lifetime] += run.charged;
    }
    std::map<std::string, std::vector<NodeCapacity>> nodesByService;
    for (const auto& [name, node] : m_nodes) {
        if (!acceptsWork(node, now))
            continue;
        NodeCapacity candidate;
        candidate.node = name;
        candidate.rack = node.rack;
        candidate.labels = node.labels;
        candidate.capacity = node.capacity;
        candidate.free = node.capacity;
        candidate.free -= busy[node.lifetime];
        candidate.releasing = releasing[node.lifetime];
        candidate.heldByServiceTasks = heldByServiceTasks[node.lifetime];
        candidate.reliability = trustOf(node, now);
        candidate.acceptsProbe = now >= node.nextProbeAt;
        if (candidate.reliability != NodeReliability::proven)
            candidate.trialStarts
                = m_settings.policy.trialStarts - std::min(m_settings.policy.trialStarts, trials[node.lifetime]);
        const auto listed = counts[node.lifetime] + node.unknownRuns.size();
        candidate.freeRuns = static_cast<std::int64_t>(maxRunsPerReport - std::min(maxRunsPerReport, listed));
        candidate.slowness = m_speeds.slownessOf(name);
        candidate.isBusy = busy[node.lifetime] != ResourceVector {};
        candidate.releases = releases[node.lifetime];
        for (const auto& [key, unknownRun] : node.unknownRuns) {
            candidate.free -= unknownRun.charged;
            candidate.releases.push_back({ unknownRun.charged, expectedStopMs });
        }
        if (const auto it = evictable.byLifetime.find(node.lifetime); it != evictable.byLifetime.end())
            candidate.evictable = it->second;
        nodesByService[node.service].push_back(std::move(candidate));
    }
    for (auto& [service, nodes] : nodesByService) {
        // When more than half of the nodes are suspected, the cause is not the executors, and too few nodes would be
        // left to start on.
        const auto suspects = std::ranges::count(nodes, NodeReliability::suspected, &NodeCapacity::reliability);
        if (std::cmp_greater(2 * suspects, nodes.size()))
            std::ranges::for_each(
                nodes, [](auto& it) { it.reliability = std::min(it.reliability, NodeReliability::failedOnce); });
    }
    return nodesByService;
}

/*! @brief Plans the waiting steps of one service and carries the plan out. */
void Controller::planService(const std::string& service, std::vector<NodeCapacity> nodes,
    const EvictableRuns& evictable, std::vector<WaitingStep>& waiting, const ClockReading& now)
{
    std::vector<std::size_t> positions;
    std::vector<StartRequest> requests;
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        if (policyOf(*waiting[i].job).service != service)
            continue;
        positions.push_back(i);
        requests.push_back(waiting[i].request);
    }
    std::vector<std::string> names;
    std::ranges::transform(nodes, std::back_inserter(names), &NodeCapacity::node);
    const auto plan = StartPlanner { std::move(nodes), m_settings.policy.placement }.plan(requests);
    for (const auto& it : plan.starts) {
        std::vector<std::string> places;
        std::ranges::transform(
            it.nodes, std::back_inserter(places), [&](std::size_t position) { return names[position]; });
        std::map<std::string, TaskName> yieldsTo;
        for (const auto& [node, step] : it.yieldsTo) {
            const auto holder = std::ranges::find(
                positions, step, [&](std::size_t position) { return waiting[position].request.step; });
            yieldsTo.emplace(names[node], waiting[*holder].name());
        }
        startRuns(waiting[positions[it.request]], places, yieldsTo, now);
    }
    for (const auto handle : plan.evictions) {
        m_runsEvicted.add();
        stopRun(evictable.keys[handle], "preempted by work of higher rank");
    }
    for (const auto handle : plan.yields) {
        m_runsYielded.add();
        stopRun(evictable.keys[handle], "the work that its resources are reserved for can start");
    }
    logReservations(plan, positions, names, waiting);
}

/*! @brief Logs once for each waiting step that executors are reserved for it, or that it is starved by a reservation.
 */
void Controller::logReservations(const StartPlan& plan, const std::vector<std::size_t>& positions,
    const std::vector<std::string>& names, const std::vector<WaitingStep>& waiting)
{
    const auto nameOf = [&](std::size_t request) { return waiting[positions[request]].name(); };
    for (const auto& it : plan.reservations) {
        const auto holder = nameOf(it.request);
        // An unknown time is logged as -1.
        const auto startMs = std::isinf(it.startMs) ? -1 : static_cast<std::int64_t>(it.startMs);
        if (m_reservingSteps.insert(holder).second) {
            std::vector<std::string> nodes;
            std::ranges::transform(
                it.nodes, std::back_inserter(nodes), [&](std::size_t position) { return names[position]; });
            logEvent("executors_reserved",
                { { "step", holder.toString() }, { "nodes", nodes }, { "epoch", m_epoch.value() } });
        }
        for (const auto request : it.delayed) {
            const auto delayed = nameOf(request);
            const auto [known, isNew] = m_delayedSteps.try_emplace(delayed, holder);
            if (!isNew && std::exchange(known->second, holder) == holder)
                continue;
            m_startsDelayed.add();
            const auto runTimeMs = waiting[positions[request]].request.runTimeMs;
            logEvent("start_delayed",
                { { "step", delayed.toString() }, { "reserved_for", holder.toString() },
                    { "expected_start_ms", startMs },
                    { "run_time_ms", std::isinf(runTimeMs) ? -1 : static_cast<std::int64_t>(runTimeMs) },
                    { "ready_ms", waiting[positions[request]].readyMs }, { "epoch", m_epoch.value() } });
        }
    }
}

void Controller::startRuns(WaitingStep& waiting, const std::vector<std::string>& nodes,
    const std::map<std::string, TaskName>& yieldsTo, const ClockReading& now)
{
    auto& job = *waiting.job;
    auto& round = job.round(waiting.occurrence, waiting.step);
    const auto& spec = job.row.request.steps[waiting.step];
    // Another step of the job may have taken room since this one was requested.
    auto room = startableTasks(job);
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (takeRowRoom(job, { waiting.occurrence, waiting.step, waiting.indices[i] }, room))
            chosen.push_back(i);
    }
    if (chosen.empty() || (spec.isGang && chosen.size() < spec.tasks))
        return;
    std::uint64_t gangRun = 0;
    std::string gangCheckpoint;
    if (spec.isGang) {
        for (std::uint32_t i = 0; i < spec.tasks; ++i) {
            const auto& task = job.progress.at({ waiting.occurrence, waiting.step, i });
            gangRun = std::max(gangRun, task.lastRun);
            // Checkpoint names start with the amount of work, zero-padded to a fixed width, so the largest is the
            // newest.
            gangCheckpoint = std::max(gangCheckpoint, task.checkpoint);
        }
        ++gangRun;
    }
    markChanged(job);
    // All tasks of the gang are placed; if it has to wait again, its waiting time starts from zero.
    if (spec.isGang)
        round.readySinceMs.reset();
    job.wasPlanned = true;
    std::vector<std::string> placed;
    std::set<std::string> yielding;
    for (const auto i : chosen) {
        const TaskPosition position { waiting.occurrence, waiting.step, waiting.indices[i] };
        auto& task = job.progress.at(position);
        const auto& node = m_nodes.at(nodes[i]);
        task.setLastRun(spec.isGang ? gangRun : task.lastRun + 1);
        if (spec.isGang)
            task.checkpoint = gangCheckpoint;
        task.placements.push_back({ node.lifetime, node.node, task.lastRun, false });
        LiveRun run;
        run.lifetime = node.lifetime;
        run.node = node.node;
        run.plannedRevision = job.revision;
        run.charged = spec.charged();
        run.checkpoint = task.checkpoint;
        run.isPartial = !task.checkpoint.empty();
        run.plannedReliability = trustOf(node, now.steady);
        if (const auto holder = yieldsTo.find(nodes[i]); holder != yieldsTo.end()) {
            run.yieldsTo = holder->second;
            yielding.insert(holder->second.toString());
            m_runsBackfilled.add();
        }
        const RunKey key { { job.id, position }, task.lastRun };
        m_runs.emplace(key, std::move(run));
        round.waiting.erase(position.index);
        ++round.live;
        m_runsPlanned.add();
        placed.push_back(fmt::format("{}#{}@{}", key.task.toString(), key.run, node.node));
    }
    logEvent("runs_planned",
        { { "job", job.id }, { "tasks", placed }, { "tier", waiting.rank.tier }, { "slack_ms", waiting.rank.slackMs },
            { "late", waiting.rank.isLate }, { "age_ms", waiting.input.ageMs }, { "ready_ms", waiting.readyMs },
            { "objective_ms", waiting.input.objectiveMs }, { "remaining_ms", waiting.input.remainingMs },
            { "gang", spec.isGang }, { "priced_cores", coreEquivalent(spec.charged()) },
            { "left_waiting", round.waiting.size() }, { "remote_accepted", waiting.request.acceptsRemote },
            { "yields_to", yielding }, { "config_version", m_config->version }, { "epoch", m_epoch.value() } });
}

/*! @brief Checks if a planned start is still valid. */
bool Controller::isStartStillValid(const RunKey& key, const LiveRun& run, TimePoint now) const
{
    const auto node = m_nodes.find(run.node);
    const auto job = m_jobs.find(key.task.job);
    return node != m_nodes.end() && job != m_jobs.end() && node->second.lifetime == run.lifetime
        && acceptsWork(node->second, now) && policyOf(job->second).service == node->second.service;
}

RunOrder Controller::orderFor(const RunKey& key, const LiveRun& run)
{
    RunOrder order;
    order.isStart = !run.isStopping();
    order.task = key.task.toString();
    order.run = key.run;
    if (order.isStart) {
        const auto& job = m_jobs.at(key.task.job);
        order.payload = job.row.request.payload;
        order.checkpoint = job.progress.at(key.task.position).checkpoint;
    }
    return order;
}

/*! @brief Withdraws starts that are not confirmed on executors whose capacity has shrunk below what they hold. */
void Controller::withdrawStartsBeyondCapacity()
{
    std::map<Lifetime, ResourceVector> held;
    for (const auto& [key, run] : m_runs)
        held[run.lifetime] += run.charged;
    for (const auto& [key, run] : m_runs) {
        const auto node = m_nodes.find(run.node);
        if (run.phase == RunPhase::confirmed || run.isStopping() || node == m_nodes.end()
            || node->second.lifetime != run.lifetime)
            continue;
        auto& amount = held[run.lifetime];
        if (amount.fitsInto(node->second.capacity))
            continue;
        amount -= run.charged;
        stopRun(key, "the executor's capacity has shrunk");
        auto* const job = findJob(key.task.job);
        if (job && job->row.request.steps[key.task.position.step].isGang)
            stopGangOf(*job, key.task.position, key.run, "a member's executor has shrunk");
    }
}

/*! @brief Ends a job whose order no message can carry; a stop order is small, so this is a start. */
void Controller::failUnsendable(const RunKey& key, std::size_t orderBytes, const ClockReading& now)
{
    m_unsendableOrders.add();
    stopRun(key, "the start order is too large");
    auto* const job = findJob(key.task.job);
    if (job && !isEnded(job->progress.state))
        endJob(*job, WorkloadState::failed,
            fmt::format(
                "a start order of {} bytes exceeds the limit of {}; use a shorter spec", orderBytes, maxOrderBytes),
            now);
}

std::map<std::string, NodeOrders> Controller::takeOrders(const ClockReading& now)
{
    std::map<std::string, NodeOrders> orders;
    const auto add = [&](const ExecutorView& node, RunOrder order) {
        auto& batch = orders[node.node];
        batch.epoch = m_epoch;
        batch.lifetime = node.lifetime;
        batch.basedOnMs = node.newestReportMs;
        batch.orders.push_back(std::move(order));
    };
    withdrawStartsBeyondCapacity();
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto current = it++;
        const auto& key = current->first;
        auto& run = current->second;
        if (run.phase == RunPhase::planned && run.isStopping()) {
            releaseRun(current);
            continue;
        }
        const auto node = m_nodes.find(run.node);
        if (node == m_nodes.end() || node->second.lifetime != run.lifetime)
            continue;
        const auto* const job = findJob(key.task.job);
        const bool isDue = now.steady - run.orderedAt >= m_settings.orderRetry;
        if (!run.isStopping()) {
            if (run.phase == RunPhase::confirmed || !job || job->storedRevision < run.plannedRevision)
                continue;
            if (run.phase == RunPhase::ordered && (!isDue || node->second.lastReportAt < run.orderedAt))
                continue;
            if (!isStartStillValid(key, run, now.steady)) {
                stopRun(key, "the executor no longer accepts work");
                continue;
            }
        } else if ((run.stopAnswered && now.steady - run.orderedAt < 2 * m_settings.orderRetry) || !isDue) {
            continue;
        }
        auto order = orderFor(key, run);
        if (const auto size = encodedBytes(order); size > maxOrderBytes) {
            failUnsendable(key, size, now);
            continue;
        }
        run.orderedAt = now.steady;
        if (run.isStopping() && run.stopOrderedAt == neverOrdered)
            run.stopOrderedAt = now.steady;
        if (run.phase == RunPhase::planned)
            run.phase = RunPhase::ordered;
        run.possibleStarts += !run.isStopping();
        add(node->second, std::move(order));
    }
    for (auto& [name, node] : m_nodes) {
        for (auto& [key, unknownRun] : node.unknownRuns) {
            if (now.steady - unknownRun.orderedAt < m_settings.orderRetry)
                continue;
            unknownRun.orderedAt = now.steady;
            m_unknownRunsStopped.add();
            RunOrder order;
            order.isStart = false;
            order.task = key.task.toString();
            order.run = key.run;
            add(node, std::move(order));
        }
    }
    return orders;
}

}
