// Compares the planner with FirstFit on the same traces, with a temporary drain of one zone, on 11 workers: the current
// cluster size.

#include "lycheespool/placement/first_fit.h"
#include "lycheespool/placement/fragmentation.h"
#include "lycheespool/placement/planner.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <map>
#include <numeric>
#include <random>
#include <string>
#include <vector>

using namespace lycheespool;

namespace {

using namespace std::chrono_literals;
using Seconds = std::chrono::duration<double>;

constexpr unsigned workers = 11;
constexpr unsigned workersPerRack = 3;
constexpr unsigned workersPerZone = 4;
constexpr Duration traceLength = 24h;
constexpr Duration stepLength = 1s;
constexpr Duration checkpointPeriod = 10min;
constexpr Duration stopTime = 20s;
constexpr TimePoint zoneDrainStart { 10h };
constexpr TimePoint zoneDrainEnd { 12h };
constexpr TimePoint windowEnds { 14h };
constexpr std::uint32_t largeAccelerators = 16;

struct Arrival {
    JobSpec spec;
    TimePoint at;
    Duration runTime;
};

struct Job {
    Arrival arrival;
    Assignment placement;
    Duration saved {};
    TimePoint startedAt;
    TimePoint stopsAt = TimePoint::max();
    std::optional<TimePoint> firstStart;
};

std::uint32_t acceleratorsOf(const JobSpec& spec) { return spec.tasks * spec.perTask.accelerators; }

std::vector<WorkerSpec> makeWorkers()
{
    std::vector<WorkerSpec> all;
    all.reserve(workers);
    for (unsigned it = 0; it < workers; ++it)
        all.push_back(
            { WorkerId { fmt::format("worker-{:02}", it) }, ZoneId { fmt::format("zone-{}", it / workersPerZone) },
                RackId { fmt::format("rack-{}", it / workersPerRack) }, { 60, 131072, 8 } });
    return all;
}

Guarantees makeGuarantees()
{
    const auto cell = [](Adjacency adjacency, std::uint32_t tasks) {
        return std::vector { GuaranteedCell { adjacency, 1, { 32, 65536, 8 }, tasks } };
    };
    return { { WorkspaceId { "workspace-0" }, cell(Adjacency::zone, 2) },
        { WorkspaceId { "workspace-1" }, cell(Adjacency::rack, 2) },
        { WorkspaceId { "workspace-2" }, cell(Adjacency::worker, 1) },
        { WorkspaceId { "workspace-3" }, cell(Adjacency::worker, 1) } };
}

// Fixed shapes, because the shapes of the waiting jobs depend on the policy.
std::vector<GangShape> largeShapes()
{
    const SignedResources worker { 32, 65536, 8 };
    return { { worker, 2, Adjacency::rack }, { worker, 3, Adjacency::zone } };
}

// Declared run times are wrong by up to 10x; the error depends mostly on the kind of job.
std::vector<Arrival> makeTrace(std::uint32_t seed, double load)
{
    struct Size {
        std::uint32_t tasks;
        std::uint32_t accelerators;
        Adjacency adjacency;
    };
    const std::vector<Size> sizes { { 1, 1, Adjacency::zone }, { 1, 2, Adjacency::zone }, { 1, 4, Adjacency::zone },
        { 2, 4, Adjacency::rack }, { 4, 2, Adjacency::worker }, { 2, 8, Adjacency::rack }, { 3, 8, Adjacency::zone } };
    std::mt19937 random(seed);
    std::discrete_distribution<std::size_t> size { 30, 20, 20, 12, 10, 6, 2 };
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<Arrival> trace;
    double work = 0;
    const auto target = load * workers * 8 * Seconds(traceLength).count();
    for (unsigned number = 0; work < target; ++number) {
        const auto& chosen = sizes[size(random)];
        JobSpec spec;
        const auto kind = random() % 4;
        spec.id = JobId { fmt::format("job-{:05}", number) };
        spec.workspace = WorkspaceId { fmt::format("workspace-{}", random() % 4) };
        spec.tasks = chosen.tasks;
        spec.perTask = { 4 * chosen.accelerators, 8192 * chosen.accelerators, chosen.accelerators };
        spec.adjacency = chosen.adjacency;
        spec.kind = fmt::format("kind-{}", kind);
        const Seconds runTime { 300 * std::pow(48, uniform(random)) };
        const auto error = std::pow(10, (static_cast<double>(kind) - 1.5) / 1.5 * 0.8 + 0.4 * (uniform(random) - 0.5));
        spec.declaredRunTime = std::chrono::duration_cast<Duration>(runTime * error);
        work += acceleratorsOf(spec) * runTime.count();
        const auto at = TimePoint {} + std::chrono::duration_cast<Duration>(Seconds(traceLength) * uniform(random));
        trace.push_back({ spec, at, std::chrono::duration_cast<Duration>(runTime) });
    }
    std::ranges::sort(trace, {}, &Arrival::at);
    return trace;
}

template <typename Policy>
class Driver {
public:
    explicit Driver(std::vector<Arrival> trace)
        : m_trace { std::move(trace) }
    {
        for (const auto& it : m_workers)
            m_policy.workerJoined(it, m_now);
        if constexpr (hasGuarantees)
            m_policy.setGuarantees(makeGuarantees(), m_now);
    }

    void run()
    {
        while (m_next < m_trace.size() || !m_jobs.empty()) {
            submitArrivals();
            updateZone();
            advanceJobs();
            for (const auto& decision : m_policy.plan(m_now))
                std::visit([this](const auto& it) { this->execute(it); }, decision);
            sample();
            m_now += stepLength;
        }
    }

    void report(const std::string& name, std::uint32_t seed, double load)
    {
        const auto print = [&](const std::string& what, double value) {
            fmt::print("{} policy={} load={} seed={} value={:.3f}\n", what, name, load, seed, value);
        };
        const auto mean = [](const auto& all) { return std::accumulate(all.begin(), all.end(), 0.0) / all.size(); };
        const auto p99 = [](auto all) {
            std::ranges::sort(all);
            return all[all.size() * 99 / 100];
        };
        print("mean_completion_s", mean(m_completions));
        print("p99_completion_s", p99(m_completions));
        print("large_p99_wait_s", p99(m_largeWaits));
        print("large_longest_wait_s", std::ranges::max(m_largeWaits));
        print("fragmentation", m_fragmentationSamples ? m_fragmentation / m_fragmentationSamples : 0);
        print("fragmentation_large_shapes", m_fragmentationSamples ? m_largeFragmentation / m_fragmentationSamples : 0);
        print("idle_accelerators_while_jobs_wait", m_fragmentationSamples ? m_idle / m_fragmentationSamples : 0);
        print("drain_window_work_accelerator_h", m_windowWork / 3600);
        print("drain_window_lost_accelerator_h", m_windowLost / 3600);
        print("total_lost_accelerator_h", m_lost / 3600);
        print("failed_jobs", m_failed);
    }

private:
    static constexpr bool hasGuarantees = requires(Policy & policy) { policy.shortfalls(); };

    [[nodiscard]] bool inWindow() const { return m_now >= zoneDrainStart && m_now < windowEnds; }

    void submitArrivals()
    {
        for (; m_next < m_trace.size() && m_trace[m_next].at <= m_now; ++m_next) {
            m_jobs.emplace(m_trace[m_next].spec.id, Job { m_trace[m_next], {}, {}, {}, TimePoint::max(), {} });
            m_policy.submit(m_trace[m_next].spec, m_now);
        }
    }

    void updateZone()
    {
        const ZoneId zone { "zone-1" };
        if (m_now == zoneDrainStart) {
            m_policy.setZoneOutOfService(zone, true, m_now);
            if constexpr (!hasGuarantees)
                killGangsIn(zone);
        }
        if (m_now == zoneDrainEnd)
            m_policy.setZoneOutOfService(zone, false, m_now);
    }

    void killGangsIn(const ZoneId& zone)
    {
        for (auto& [id, job] : m_jobs) {
            if (!job.placement.empty() && spec(job.placement.front()).zone == zone)
                stop(job, progress(job) % checkpointPeriod);
        }
    }

    [[nodiscard]] const WorkerSpec& spec(const WorkerId& id) const
    {
        return *std::ranges::find(m_workers, id, &WorkerSpec::id);
    }

    [[nodiscard]] Duration progress(const Job& job) const { return m_now - job.startedAt; }

    void stop(Job& job, Duration lost)
    {
        const auto work = acceleratorsOf(job.arrival.spec) * Seconds(lost).count();
        m_lost += work;
        if (inWindow()) {
            m_windowLost += work;
            m_windowWork -= work;
        }
        job.saved += progress(job) - lost;
        job.placement.clear();
        job.stopsAt = TimePoint::max();
        m_policy.released(job.arrival.spec.id, m_now);
    }

    void advanceJobs()
    {
        std::vector<JobId> finished;
        for (auto& [id, job] : m_jobs) {
            if (job.placement.empty())
                continue;
            if (inWindow())
                m_windowWork += acceleratorsOf(job.arrival.spec) * Seconds(stepLength).count();
            if (job.saved + progress(job) >= job.arrival.runTime)
                finished.push_back(id);
            else if (m_now >= job.stopsAt)
                stop(job, {});
            else if constexpr (hasGuarantees) {
                if (progress(job) % checkpointPeriod == Duration {})
                    m_policy.checkpointed(id, m_now);
            }
        }
        for (const auto& id : finished)
            finish(id);
    }

    void finish(const JobId& id)
    {
        const auto& job = m_jobs.at(id);
        m_completions.push_back(Seconds(m_now - job.arrival.at).count());
        m_policy.finished(id, m_now);
        m_jobs.erase(id);
    }

    void execute(const StartGang& start)
    {
        auto& job = m_jobs.at(start.job);
        job.placement = start.workers;
        job.startedAt = m_now;
        if (!job.firstStart && acceleratorsOf(job.arrival.spec) >= largeAccelerators)
            m_largeWaits.push_back(Seconds(m_now - job.arrival.at).count());
        job.firstStart = job.firstStart.value_or(m_now);
    }

    // An evicted gang writes a checkpoint before it stops, so it loses only the time that stopping takes.
    void execute(const EvictGang& evict) { m_jobs.at(evict.job).stopsAt = m_now + stopTime; }

    void execute(const FailJob& fail)
    {
        ++m_failed;
        m_jobs.erase(fail.job);
    }

    void sample()
    {
        if (m_now.time_since_epoch() % 1min != Duration {} || m_now.time_since_epoch() > traceLength)
            return;
        std::map<WorkerId, SignedResources> free;
        for (const auto& it : m_workers)
            free[it.id] = SignedResources::of(it.capacity);
        std::vector<GangShape> shapes;
        for (const auto& [id, job] : m_jobs) {
            const auto& it = job.arrival.spec;
            for (const auto& worker : job.placement)
                free[worker] -= SignedResources::of(it.perTask);
            if (job.placement.empty())
                shapes.push_back({ SignedResources::of(it.perTask), it.tasks, it.adjacency });
        }
        if (shapes.empty())
            return;
        std::vector<WorkerFreeCapacity> freeCapacities;
        for (unsigned it = 0; it < workers; ++it) {
            const auto outOfService = it / workersPerZone == 1 && m_now >= zoneDrainStart && m_now < zoneDrainEnd;
            if (!outOfService)
                freeCapacities.push_back({ it / workersPerZone, it / workersPerRack, free[m_workers[it].id] });
        }
        m_fragmentation += fragmentation(freeCapacities, shapes);
        m_largeFragmentation += fragmentation(freeCapacities, largeShapes());
        for (const auto& it : freeCapacities)
            m_idle += it.capacity.accelerators;
        ++m_fragmentationSamples;
    }

    Policy m_policy;
    std::vector<WorkerSpec> m_workers = makeWorkers();
    std::vector<Arrival> m_trace;
    std::size_t m_next { 0 };
    TimePoint m_now {};
    std::map<JobId, Job> m_jobs;
    std::vector<double> m_completions;
    std::vector<double> m_largeWaits;
    double m_fragmentation { 0 };
    double m_largeFragmentation { 0 };
    double m_idle { 0 };
    unsigned m_fragmentationSamples { 0 };
    double m_windowWork { 0 };
    double m_windowLost { 0 };
    double m_lost { 0 };
    unsigned m_failed { 0 };
};

template <typename Policy>
void measure(const std::string& name, std::uint32_t seed, double load)
{
    Driver<Policy> driver(makeTrace(seed, load));
    driver.run();
    driver.report(name, seed, load);
}

}

int main()
{
    for (const auto load : { 0.6, 0.85 }) {
        for (const std::uint32_t seed : { 20261204U, 1U, 2U }) {
            measure<FirstFit>("first_fit", seed, load);
            measure<Planner>("planner", seed, load);
        }
    }
}
