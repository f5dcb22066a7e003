#include "lycheespool/dispatch/start_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <tuple>

namespace lycheespool {

namespace {

// A start is stored, ordered and confirmed within this time; a task that has to stop sooner would not work at all.
constexpr double minUsefulMs = 500;

/*! @brief Returns the shares of an executor that a task would leave free, summed over the resources; a smaller sum is a
 * tighter fit. */
double unusedShare(const NodeCapacity& node, const ResourceVector& need)
{
    const auto share = [](std::int64_t free, std::int64_t used, std::int64_t capacity) {
        return capacity > 0 ? static_cast<double>(free - used) / static_cast<double>(capacity) : 0.0;
    };
    return share(node.free.milliCores, need.milliCores, node.capacity.milliCores)
        + share(node.free.memoryMiB, need.memoryMiB, node.capacity.memoryMiB)
        + share(node.free.accelerators, need.accelerators, node.capacity.accelerators);
}

/*! @brief Checks if a run uses the reservation of a request. */
bool yieldsTo(const EvictableRun& run, const StartRequest& request)
{
    return run.yieldsTo != 0 && run.yieldsTo == request.step;
}

}

StartPlan StartPlanner::plan(std::span<const StartRequest> requests)
{
    StartPlan plan;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        const auto& request = requests[i];
        m_usesIdleCapacity = hasIdleCapacityFor(request);
        auto places = findMostReliable(request);
        if (places.empty() && tryStopYielding(i, request, plan))
            continue;
        if (places.empty() && request.mayEvict) {
            auto releasing = eligibleScope(request);
            releasing.withReleasing = true;
            releasing.unreservedOnly = true;
            const bool willBecomeFree = !find(request, releasing).empty();
            if (!willBecomeFree && tryEvictFor(i, request, plan))
                continue;
            if (!willBecomeFree && request.hasStartBound)
                places = find(request, { .reliability = NodeReliability::suspected, .withAvoided = true });
        }
        if (places.empty()) {
            if (request.isStarved)
                recordDelay(i, request, plan);
            reserve(i, request, plan);
        } else {
            startOn(i, request, places, plan);
        }
    }
    return plan;
}

void StartPlanner::startOn(std::size_t index, const StartRequest& request, const Places& places, StartPlan& plan)
{
    // Tasks beyond the trials keep their capacity and start in a later plan.
    auto yieldsTo = allocate(request, places);
    if (auto starts = withinTrials(request, places); !starts.empty())
        plan.starts.push_back({ index, std::move(starts), std::move(yieldsTo) });
}

bool StartPlanner::isAllowed(const StartRequest& request, std::size_t node, const Scope& scope) const
{
    const auto& it = m_nodes[node];
    if (!it.isSchedulable || it.reliability > scope.reliability)
        return false;
    const auto& reservation = m_reservations[node];
    if (reservation && (scope.whenEmpty || scope.unreservedOnly))
        return false;
    if (reservation && !scope.withReserved && !mayBackfill(request, *reservation))
        return false;
    if (!scope.withAvoided && request.avoidedNodes.contains(it.node))
        return false;
    if (!scope.rack.empty() && it.rack != scope.rack)
        return false;
    return request.requiredLabel.empty() || std::ranges::find(it.labels, request.requiredLabel) != it.labels.end();
}

std::int64_t StartPlanner::copiesOn(const StartRequest& request, std::size_t node, const Scope& scope) const
{
    if (!isAllowed(request, node, scope))
        return 0;
    const auto& it = m_nodes[node];
    auto available = it.free;
    if (scope.whenEmpty) {
        available = it.capacity;
        available -= it.heldByServiceTasks;
        for (const auto& run : it.evictable) {
            if (run.isService && (request.evictsServiceTasks || yieldsTo(run, request)))
                available += run.charged;
        }
    } else if (scope.withYielding) {
        for (const auto& run : it.evictable) {
            if (yieldsTo(run, request))
                available += run.charged;
        }
    }
    if (scope.withReleasing)
        available += it.releasing;
    auto copies = std::min<std::int64_t>(request.perTask.copiesIn(available), request.tasks);
    if (!scope.whenEmpty)
        copies = std::min(copies, it.freeRuns);
    // A single task shows whether a suspected executor has recovered.
    if (it.reliability == NodeReliability::suspected && !request.isGang && !scope.whenEmpty) {
        const bool mayProbe = request.acceptsSuspected || (!it.isBusy && (it.acceptsProbe || request.hasStartBound));
        copies = mayProbe ? std::min<std::int64_t>(copies, 1) : 0;
    }
    if (request.maxPerNode > 0) {
        const auto running = request.tasksOn.find(it.node);
        const std::int64_t present = running == request.tasksOn.end() ? 0 : running->second;
        copies = std::min(copies, std::max<std::int64_t>(0, request.maxPerNode - present));
    }
    return copies;
}

std::int64_t StartPlanner::copiesIn(const StartRequest& request, const Scope& scope) const
{
    std::int64_t copies = 0;
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        copies += copiesOn(request, i, scope);
    return copies;
}

/*! @brief Places up to the requested number of tasks, on the fullest executors first. */
StartPlanner::Places StartPlanner::findPlaces(const StartRequest& request, const Scope& scope) const
{
    std::vector<std::size_t> order(m_nodes.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    // A reservation takes the emptiest executors instead, since they become free soonest.
    const double direction = scope.whenEmpty ? -1 : 1;
    std::ranges::sort(order, {}, [&](std::size_t it) {
        const auto& node = m_nodes[it];
        return std::tuple { m_reservations[it].has_value(),
            direction * unusedShare(node, request.perTask) + request.speedWeight * node.slowness, it };
    });
    Places places;
    for (const auto node : order) {
        const auto copies = copiesOn(request, node, scope);
        for (std::int64_t i = 0; i < copies && places.size() < request.tasks; ++i)
            places.push_back(node);
    }
    return places;
}

std::set<std::string> StartPlanner::racks() const
{
    std::set<std::string> racks;
    for (const auto& it : m_nodes)
        racks.insert(it.rack);
    return racks;
}

/*! @brief Ranks the placement of a gang that prefers fast executors: a gang is as slow as its slowest member. */
double StartPlanner::slownessRank(const StartRequest& request, const Places& places) const
{
    // Racks whose slowest executors differ by less than this rank equally.
    constexpr double resolution = 0.1;
    if (request.speedWeight <= 0 || places.empty())
        return 0;
    const auto slowness = [this](std::size_t it) { return m_nodes[it].slowness; };
    return std::round(slowness(*std::ranges::max_element(places, {}, slowness)) / resolution);
}

StartPlanner::Places StartPlanner::findGang(const StartRequest& request, Scope scope) const
{
    const std::int64_t wanted = request.tasks;
    if (request.prefersOneRack) {
        Places best;
        std::pair<double, std::int64_t> bestRank;
        bool possible = false;
        for (const auto& rack : racks()) {
            scope.rack = rack;
            auto empty = scope;
            empty.whenEmpty = true;
            possible = possible || copiesIn(request, empty) >= wanted;
            const auto copies = copiesIn(request, scope);
            if (copies < wanted)
                continue;
            auto places = findPlaces(request, scope);
            // The rack with the least sufficient capacity is taken, which keeps the others free for larger gangs.
            const std::pair rank { slownessRank(request, places), copies };
            if (best.empty() || rank < bestRank) {
                best = std::move(places);
                bestRank = rank;
            }
        }
        if (!best.empty() || (possible && !request.acceptsRemote && !m_usesIdleCapacity))
            return best;
        scope.rack.clear();
    }
    auto places = findPlaces(request, scope);
    if (std::cmp_less(places.size(), wanted))
        return {};
    return places;
}

StartPlanner::Places StartPlanner::findTasks(const StartRequest& request, Scope scope) const
{
    if (!request.dataRack.empty()) {
        scope.rack = request.dataRack;
        auto places = findPlaces(request, scope);
        auto empty = scope;
        empty.whenEmpty = true;
        const bool possible = copiesIn(request, empty) > 0;
        if (!places.empty() || (possible && !request.acceptsRemote && !m_usesIdleCapacity))
            return places;
        scope.rack.clear();
    }
    return findPlaces(request, scope);
}

StartPlanner::Places StartPlanner::find(const StartRequest& request, const Scope& scope) const
{
    return request.isGang ? findGang(request, scope) : findTasks(request, scope);
}

/*! @brief Returns the scope of executors that may start a request. Less reliable executors are excluded only if the
 * others could hold the request when all tasks that end have ended, and avoided ones only for a limited wait. */
StartPlanner::Scope StartPlanner::eligibleScope(const StartRequest& request) const
{
    Scope any { .reliability = NodeReliability::suspected, .withAvoided = true };
    // The failure of one member fails the whole gang.
    const bool acceptsAny = !request.isGang && !request.prefersReliable;
    if (acceptsAny || request.acceptsSuspected)
        return any;
    if (m_usesIdleCapacity)
        return { .withAvoided = true };
    const std::int64_t needed = request.isGang ? request.tasks : 1;
    const auto scopeOf = [&](NodeReliability reliability) {
        return Scope { .reliability = reliability, .withAvoided = request.acceptsAvoided };
    };
    const auto couldHold = [&](NodeReliability reliability) {
        auto empty = scopeOf(reliability);
        empty.whenEmpty = true;
        return copiesIn(request, empty) >= needed;
    };
    if (request.isLastAttempt && !request.acceptsUnproven && couldHold(NodeReliability::proven))
        return scopeOf(NodeReliability::proven);
    if (request.isLastAttempt && couldHold(NodeReliability::reliable))
        return scopeOf(NodeReliability::reliable);
    return couldHold(NodeReliability::failedOnce) ? scopeOf(NodeReliability::failedOnce) : any;
}

/*! @brief Finds a placement on the most reliable executors that have free capacity. */
StartPlanner::Places StartPlanner::findMostReliable(const StartRequest& request) const
{
    const auto eligible = eligibleScope(request);
    Places places;
    if (request.prefersReliable)
        places = find(request, { .reliability = NodeReliability::proven });
    if (places.empty() && (request.isGang || request.prefersReliable)
        && eligible.reliability >= NodeReliability::reliable)
        places = find(request, { .reliability = NodeReliability::reliable });
    if (places.empty() && eligible.reliability >= NodeReliability::failedOnce)
        places = find(request, {});
    if (places.empty() && eligible.withAvoided)
        places = find(request, eligible);
    return places;
}

/*! @brief Checks if a request may start at once on an executor that it prefers to avoid: its job has waited beside
 * room for twice its tasks, while less than half of the capacity is in use. Tasks that do not end by themselves need
 * not wait for the latter, since their callers count each second without them. */
bool StartPlanner::hasIdleCapacityFor(const StartRequest& request) const
{
    if (!request.isStarved)
        return false;
    const Scope anyFree { .reliability = NodeReliability::failedOnce, .withAvoided = true, .withReserved = true };
    auto twice = request;
    twice.tasks = 2 * (request.isGang ? request.tasks : 1);
    if (copiesIn(twice, anyFree) < twice.tasks)
        return false;
    if (request.isService)
        return true;
    ResourceVector twiceUsed;
    ResourceVector capacity;
    for (const auto& it : m_nodes) {
        capacity += it.capacity;
        for (int i = 0; i < 2; ++i) {
            twiceUsed += it.capacity;
            twiceUsed -= it.free;
        }
    }
    return twiceUsed.fitsInto(capacity);
}

/*! @brief Checks if a request may use a reserved executor until the reserving request starts. */
bool StartPlanner::mayBackfill(const StartRequest& request, const Reservation& reservation) const
{
    // Tasks of the reserving step itself wait for it, since runs that yield to their own step would be repeated.
    if (!request.isStarved || (reservation.step != 0 && reservation.step == request.step))
        return false;
    // A gang that has to yield loses the work of all its members. A start of unknown time may come at once.
    const bool endsBefore
        = !request.isGang && !std::isinf(reservation.startMs) && request.runTimeMs < reservation.startMs;
    return endsBefore || (reservation.startMs > minUsefulMs && m_usesIdleCapacity);
}

/*! @brief Takes the resources of the places; returns the steps whose reservations are used, by node. */
std::map<std::size_t, std::size_t> StartPlanner::allocate(const StartRequest& request, const Places& places)
{
    std::map<std::size_t, std::size_t> yieldsTo;
    for (const auto node : places) {
        m_nodes[node].free -= request.perTask;
        --m_nodes[node].freeRuns;
        m_nodes[node].isBusy = true;
        m_nodes[node].releases.push_back({ request.perTask, request.runTimeMs });
        if (const auto& reservation = m_reservations[node])
            yieldsTo[node] = reservation->step;
    }
    return yieldsTo;
}

/*! @brief Limits the starts on each executor to its trials, so that one that has begun to fail fails few tasks. */
StartPlanner::Places StartPlanner::withinTrials(const StartRequest& request, const Places& places)
{
    if (request.isGang || request.hasStartBound)
        return places;
    Places starts;
    std::ranges::copy_if(places, std::back_inserter(starts), [this](std::size_t it) {
        auto& trials = m_nodes[it].trialStarts;
        if (trials == 0)
            return false;
        --trials;
        return true;
    });
    return starts;
}

/*! @brief Forecasts the time until an amount is free on an executor for a request, ms; infinite if no forecast includes
 * it. */
double StartPlanner::timeUntilFree(std::size_t node, const ResourceVector& needed, const StartRequest& request) const
{
    auto available = m_nodes[node].free;
    auto releases = m_nodes[node].releases;
    for (const auto& it : m_nodes[node].evictable) {
        // Runs that yield to the request do not delay it.
        if (yieldsTo(it, request))
            available += it.charged;
        else
            releases.push_back({ it.charged, it.remainingMs });
    }
    std::ranges::sort(releases, {}, &ExpectedRelease::remainingMs);
    double time = 0;
    for (auto it = releases.begin(); it != releases.end() && !needed.fitsInto(available); ++it) {
        available += it->charged;
        time = it->remainingMs;
    }
    return needed.fitsInto(available) ? time : std::numeric_limits<double>::infinity();
}

/*! @brief Reserves executors for a request until it can start there. */
void StartPlanner::reserveNodes(std::size_t index, const StartRequest& request, const Places& places, StartPlan& plan)
{
    std::map<std::size_t, ResourceVector> needed;
    for (const auto node : places)
        needed[node] += request.perTask;
    std::map<std::size_t, double> times;
    PlannedReservation planned { index, {}, 0, {} };
    for (const auto& [node, amount] : needed) {
        times[node] = timeUntilFree(node, amount, request);
        planned.nodes.push_back(node);
        planned.startMs = std::max(planned.startMs, times[node]);
    }
    // A request that waits although enough is free waits for something that has no forecast.
    const auto orUnknown = [](double ms) { return ms == 0 ? std::numeric_limits<double>::infinity() : ms; };
    planned.startMs = orUnknown(planned.startMs);
    for (const auto& [node, amount] : needed) {
        // The members of a gang start together; other tasks start one by one.
        const auto startMs = request.isGang ? planned.startMs : orUnknown(times[node]);
        m_reservations[node] = Reservation { request.step, plan.reservations.size(), startMs };
    }
    plan.reservations.push_back(std::move(planned));
}

/*! @brief Records for which reservation a starved request waits, if only reservations keep it from starting. */
void StartPlanner::recordDelay(std::size_t index, const StartRequest& request, StartPlan& plan) const
{
    if (plan.reservations.empty())
        return;
    const std::int64_t needed = request.isGang ? request.tasks : 1;
    auto scope = eligibleScope(request);
    scope.withReserved = true;
    if (copiesIn(request, scope) < needed)
        return;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_reservations[i] && copiesOn(request, i, scope) > 0) {
            plan.reservations[m_reservations[i]->position].delayed.push_back(index);
            return;
        }
    }
}

/*! @brief Reserves the executors that a request waits for, so that later requests cannot keep them from it. */
void StartPlanner::reserve(std::size_t index, const StartRequest& request, StartPlan& plan)
{
    if (m_waitingReservations >= m_limits.maxReservations)
        return;
    // Only gangs and tasks that need most of an executor are starved by small tasks.
    const auto needsMost = [&](const NodeCapacity& it) { return request.perTask.copiesIn(it.capacity) <= 2; };
    if (!request.isGang && !std::ranges::any_of(m_nodes, needsMost))
        return;
    // An executor has one reservation, so that the time until it is needed depends on one request only.
    Scope scope { .withReleasing = true, .unreservedOnly = true };
    auto places = find(request, scope);
    if (places.empty()) {
        scope.whenEmpty = true;
        places = find(request, scope);
    }
    if (places.empty())
        return;
    ++m_waitingReservations;
    reserveNodes(index, request, places, plan);
}

/*! @brief Stops the runs that use the reservation of a request if it can start once they have ended. */
bool StartPlanner::tryStopYielding(std::size_t index, const StartRequest& request, StartPlan& plan)
{
    const auto yields = [&](const EvictableRun& it) { return yieldsTo(it, request); };
    if (std::ranges::none_of(m_nodes, [&](const auto& it) { return std::ranges::any_of(it.evictable, yields); }))
        return false;
    auto scope = eligibleScope(request);
    scope.withReleasing = true;
    scope.unreservedOnly = true;
    // Stops in progress may already free enough.
    if (!find(request, scope).empty())
        return false;
    scope.withYielding = true;
    const auto places = find(request, scope);
    std::map<std::size_t, std::int64_t> copies;
    for (const auto node : places)
        ++copies[node];
    EvictionChoice choice;
    choice.stops = m_stops;
    for (const auto& [node, count] : copies) {
        auto found = evictionsOn(request, node, count, choice.stops, yields);
        if (!found)
            return false;
        choice.handles.insert(choice.handles.end(), found->handles.begin(), found->handles.end());
        choice.stops = std::move(found->stops);
    }
    if (choice.handles.empty())
        return false;
    stopRuns(choice.handles, plan.yields);
    reserveNodes(index, request, places, plan);
    return true;
}

/*! @brief Chooses runs to evict on one executor so that the given number of tasks fit, and sums their unsaved work. */
template <std::predicate<const EvictableRun&> MayStop>
std::optional<StartPlanner::EvictionChoice> StartPlanner::evictionsOn(const StartRequest& request, std::size_t node,
    std::int64_t copies, const LimitedStops& stops, const MayStop& mayStop) const
{
    const auto& it = m_nodes[node];
    auto available = it.free;
    available += it.releasing;
    auto runs = it.evictable;
    EvictionChoice choice;
    choice.nodes.push_back(node);
    choice.stops = stops;
    // Of runs with equal work, those of the step that can spare the most come first.
    const auto stopsLeft = [&](const EvictableRun& run) {
        const auto used = choice.stops[run.limitedStep];
        return run.limitedStep == 0 ? std::numeric_limits<std::size_t>::max()
                                    : run.stopsLeft - std::min(run.stopsLeft, used);
    };
    std::ranges::sort(runs, {}, [&](const auto& run) {
        return std::tuple { run.unsavedCoreSeconds, std::numeric_limits<std::size_t>::max() - stopsLeft(run),
            run.handle };
    });
    for (const auto& run : runs) {
        if (request.perTask.copiesIn(available) >= copies)
            break;
        if (!mayStop(run) || stopsLeft(run) == 0)
            continue;
        if (run.limitedStep != 0)
            ++choice.stops[run.limitedStep];
        available += run.charged;
        choice.cost += run.unsavedCoreSeconds;
        choice.handles.push_back(run.handle);
    }
    if (request.perTask.copiesIn(available) < copies)
        return std::nullopt;
    return choice;
}

/*! @brief Chooses runs to evict so that all tasks of a request fit, cheapest first. */
std::optional<StartPlanner::EvictionChoice> StartPlanner::chooseEvictions(
    const StartRequest& request, const std::string& rack) const
{
    struct Candidate {
        double costPerCopy;
        std::size_t node;
        std::int64_t copies;
        EvictionChoice choice;
    };
    auto scope = eligibleScope(request);
    scope.rack = rack;
    scope.whenEmpty = true;
    const auto isLessImportant = [&](const EvictableRun& it) {
        return it.tier > request.evictsAboveTier && (!it.isService || request.evictsServiceTasks);
    };
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        // Evicting all runs frees the most capacity; freeing less may cost less per task.
        for (auto copies = copiesOn(request, i, scope); copies > 0; --copies) {
            if (auto found = evictionsOn(request, i, copies, m_stops, isLessImportant))
                candidates.push_back({ found->cost / static_cast<double>(copies), i, copies, std::move(*found) });
        }
    }
    std::ranges::sort(candidates, {}, [](const auto& it) { return std::tuple { it.costPerCopy, it.node, it.copies }; });
    EvictionChoice choice;
    choice.stops = m_stops;
    std::int64_t missing = request.tasks;
    for (const auto& it : candidates) {
        const bool isUsed = std::ranges::find(choice.nodes, it.node) != choice.nodes.end();
        if (missing <= 0 || isUsed)
            continue;
        // Stops on the other executors may have used up what a step can spare.
        const auto found = evictionsOn(request, it.node, it.copies, choice.stops, isLessImportant);
        if (!found)
            continue;
        choice.cost += found->cost;
        choice.handles.insert(choice.handles.end(), found->handles.begin(), found->handles.end());
        choice.nodes.push_back(it.node);
        choice.stops = found->stops;
        missing -= it.copies;
    }
    return missing > 0 ? std::nullopt : std::optional { std::move(choice) };
}

bool StartPlanner::tryEvictFor(std::size_t index, const StartRequest& request, StartPlan& plan)
{
    std::optional<EvictionChoice> best;
    if (request.isGang && request.prefersOneRack) {
        for (const auto& rack : racks()) {
            auto choice = chooseEvictions(request, rack);
            if (choice && (!best || choice->cost < best->cost))
                best = std::move(choice);
        }
    }
    if (!best)
        best = chooseEvictions(request, {});
    if (!best || best->cost > request.evictionBudget)
        return false;
    stopRuns(best->handles, plan.evictions);
    Places places;
    for (const auto node : std::set<std::size_t> { best->nodes.begin(), best->nodes.end() }) {
        auto available = m_nodes[node].free;
        available += m_nodes[node].releasing;
        const auto copies = std::min<std::int64_t>(request.perTask.copiesIn(available), request.tasks);
        places.insert(places.end(), static_cast<std::size_t>(copies), node);
    }
    reserveNodes(index, request, places, plan);
    return true;
}

/*! @brief Stops runs and the other members of their gangs. */
void StartPlanner::stopRuns(std::span<const std::size_t> handles, std::vector<std::size_t>& stopped)
{
    std::set<std::size_t> groups;
    for (const auto& node : m_nodes) {
        for (const auto& run : node.evictable) {
            if (run.group != 0 && std::ranges::find(handles, run.handle) != handles.end())
                groups.insert(run.group);
        }
    }
    for (auto& node : m_nodes) {
        std::erase_if(node.evictable, [&](const EvictableRun& run) {
            const bool chosen = groups.contains(run.group) || std::ranges::find(handles, run.handle) != handles.end();
            if (chosen) {
                node.releasing += run.charged;
                node.releases.push_back({ run.charged, expectedStopMs });
                if (run.isService)
                    node.heldByServiceTasks -= run.charged;
                if (run.limitedStep != 0)
                    ++m_stops[run.limitedStep];
                stopped.push_back(run.handle);
            }
            return chosen;
        });
    }
}

}
