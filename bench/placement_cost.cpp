// Measures the cost of the planner: time per decision by number of workers, full rebuild and memory.

#include "lycheespool/placement/planner.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <malloc.h>
#include <random>
#include <vector>

using namespace lycheespool;

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t seed = 20261204;
constexpr unsigned workersPerRack = 32;
constexpr unsigned workersPerZone = 1216;
constexpr unsigned workspaces = 180;

struct Running {
    JobSpec spec;
    Assignment workers;
};

template <typename Step>
double microseconds(const Step& step)
{
    const auto begin = std::chrono::steady_clock::now();
    step();
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count();
}

void report(const std::string& name, unsigned workers, std::vector<double> samples)
{
    std::ranges::sort(samples);
    const auto p99 = samples[samples.size() * 99 / 100];
    fmt::print("{} workers={} seed={} samples={} median_us={:.1f} p99_us={:.1f}\n", name, workers, seed, samples.size(),
        samples[samples.size() / 2], p99);
}

WorkerSpec makeWorker(unsigned number)
{
    return { WorkerId { fmt::format("worker-{:05}", number) },
        ZoneId { fmt::format("zone-{}", number / workersPerZone) },
        RackId { fmt::format("rack-{}", number / workersPerRack) }, { 60, 131072, 8 } };
}

Guarantees makeGuarantees(unsigned workers)
{
    Guarantees guarantees;
    for (unsigned it = 0; it < workspaces; ++it) {
        // About half of the capacity, in cells of 4 whole workers of one zone.
        guarantees[WorkspaceId { fmt::format("workspace-{}", it) }]
            = { { Adjacency::zone, std::max(1U, workers / 8 / workspaces), { 32, 65536, 8 }, 4 } };
    }
    return guarantees;
}

class Cluster {
public:
    explicit Cluster(unsigned workers)
        : m_workers { workers }
    {
        for (unsigned it = 0; it < workers; ++it)
            planner.workerJoined(makeWorker(it), now);
        planner.setGuarantees(makeGuarantees(workers), now);
        fill(workers * 160 / 17);
    }

    JobSpec makeJob(std::uint32_t tasks, std::uint32_t accelerators)
    {
        JobSpec spec;
        spec.id = JobId { fmt::format("job-{}", m_next++) };
        spec.workspace = WorkspaceId { fmt::format("workspace-{}", m_random() % workspaces) };
        spec.tasks = tasks;
        spec.perTask = { 4, 8192, accelerators };
        spec.declaredRunTime = 1h;
        return spec;
    }

    unsigned workers() const { return m_workers; }

    Planner planner;
    TimePoint now {};
    std::vector<Running> running;

private:
    // Submits jobs of 8 tasks on average until the given number of tasks runs.
    void fill(unsigned tasks)
    {
        for (unsigned started = 0; started < tasks;) {
            auto spec = makeJob(1 + m_random() % 15, m_random() % 3 == 0 ? 0 : 1);
            planner.submit(spec, now);
            const auto decisions = planner.plan(now);
            for (const auto& it : decisions) {
                if (const auto* start = std::get_if<StartGang>(&it)) {
                    running.push_back({ spec, start->workers });
                    started += spec.tasks;
                }
            }
        }
    }

    unsigned m_workers;
    unsigned m_next { 0 };
    std::mt19937 m_random { seed };
};

void measureGangs(Cluster& cluster, const std::string& name, std::uint32_t accelerators, bool guest)
{
    std::vector<double> samples;
    std::size_t decisions = 0;
    for (int it = 0; it < 1000; ++it) {
        auto spec = cluster.makeJob(64, accelerators);
        if (guest)
            spec.workspace = WorkspaceId { "without-guarantee" };
        cluster.planner.submit(spec, cluster.now);
        samples.push_back(microseconds([&] { decisions += cluster.planner.plan(cluster.now).size(); }));
        cluster.planner.cancel(spec.id, cluster.now);
    }
    report(fmt::format("{} decisions={}", name, decisions), cluster.workers(), samples);
}

void measureLoss(Cluster& cluster)
{
    std::vector<double> lost;
    std::vector<double> joined;
    for (unsigned it = 0; it < 300; ++it) {
        const auto worker = makeWorker(it * 7919 % cluster.workers());
        lost.push_back(microseconds([&] {
            cluster.planner.workerLost(worker.id, cluster.now);
            static_cast<void>(cluster.planner.plan(cluster.now));
        }));
        joined.push_back(microseconds([&] {
            cluster.planner.workerJoined(worker, cluster.now);
            static_cast<void>(cluster.planner.plan(cluster.now));
        }));
    }
    report("worker_lost", cluster.workers(), lost);
    report("worker_returned", cluster.workers(), joined);
}

void measureRebuild(const Cluster& cluster)
{
    const auto before = mallinfo2();
    Planner rebuilt;
    std::size_t tasks = 0;
    const auto time = microseconds([&] {
        for (unsigned it = 0; it < cluster.workers(); ++it)
            rebuilt.workerJoined(makeWorker(it), cluster.now);
        rebuilt.setGuarantees(makeGuarantees(cluster.workers()), cluster.now);
        for (const auto& it : cluster.running) {
            rebuilt.adopt(it.spec, it.workers, cluster.now);
            tasks += it.spec.tasks;
        }
        static_cast<void>(rebuilt.plan(cluster.now));
    });
    const auto after = mallinfo2();
    fmt::print("rebuild workers={} seed={} jobs={} tasks={} seconds={:.3f} state_mb={:.1f} shortfalls={}\n",
        cluster.workers(), seed, cluster.running.size(), tasks, time / 1e6,
        static_cast<double>(after.uordblks + after.hblkhd - before.uordblks - before.hblkhd) / 1e6,
        rebuilt.shortfalls().size());
}

}

int main()
{
    for (const auto workers : { 1000U, 4000U, 17000U }) {
        Cluster cluster(workers);
        cluster.now += 60s;
        measureGangs(cluster, "gang64_1_accelerator", 1, false);
        measureGangs(cluster, "gang64_8_accelerators", 8, false);
        measureGangs(cluster, "gang64_8_accelerators_guest", 8, true);
        measureLoss(cluster);
        measureRebuild(cluster);
    }
}
