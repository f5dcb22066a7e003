#include "lycheespool/controller/controller.h"

#include "lycheespool/store/row_store.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace lycheespool;

namespace {

constexpr std::size_t rowsPerCommit = (maxTransactionEntries - 1) / 2;

/*! @brief Three large executors that run all they are given, and a store that refuses what exceeds its limits. */
class Cluster {
public:
    explicit Cluster(const ControllerSettings& settings, std::size_t maxValueBytes)
        : controller { settings, Epoch { 1 }, at(0).steady, metrics }
        , m_maxValueBytes { maxValueBytes }
    {
        controller.setConfig(std::make_shared<const OperatorConfig>());
    }

    /*! @brief Settings whose executors need no trial, so that all tasks may start at once. */
    static ControllerSettings settings(std::size_t rowBytes)
    {
        NodeSettings node;
        node.rowBytes = rowBytes;
        auto settings = ControllerSettings::from(node);
        settings.policy.trialStarts = 10'000;
        return settings;
    }

    static ClockReading at(std::int64_t ms) { return { TimePoint { std::chrono::milliseconds { ms } }, ms }; }

    void add(const std::string& id, std::uint32_t tasks, bool isGang = false, std::string payload = {})
    {
        JobRow row;
        row.queue = "queue";
        row.request.payload = std::move(payload);
        row.policy = { "service", 1, 2, 3.0, 1000 };
        StepSpec step;
        step.tasks = tasks;
        step.isGang = isGang;
        step.savesCheckpoints = true;
        step.perTask = { 100, 100, 0 };
        step.estimatedMs = 2000;
        row.request.steps.push_back(step);
        controller.addJob(id, std::move(row), {}, 0, at(m_nowMs).steady);
    }

    /*! @brief Reports, plans, stores and orders once; runs of an earlier round end as done. */
    void round(const std::string& checkpoint)
    {
        m_nowMs += 300;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            report(m_nodes[i], "node-" + std::to_string(i), checkpoint);
        controller.superviseRuns(at(m_nowMs));
        (void)controller.plan(at(m_nowMs));
        for (int i = 0; i < 200 && controller.hasPendingWrites(); ++i)
            commit();
        for (const auto& [name, orders] : controller.takeOrders(at(m_nowMs))) {
            auto& node = m_nodes.at(static_cast<std::size_t>(name.back() - '0'));
            for (const auto& it : orders.orders) {
                if (it.isStart)
                    node.running.push_back({ it.task, it.run, checkpoint, 10 });
            }
        }
        std::size_t running = 0;
        for (const auto& it : m_nodes) {
            running += it.running.size();
            mostOnOneNode = std::max(mostOnOneNode, it.running.size());
        }
        mostRunning = std::max(mostRunning, running);
    }

    void commit()
    {
        const auto writes = controller.pendingWrites(rowsPerCommit);
        std::size_t body = 0;
        for (const auto& it : writes) {
            largestValue = std::max(largestValue, it.value.size());
            body += it.value.size() * 4 / 3 + 2 * it.job.size();
        }
        largestBody = std::max(largestBody, body);
        const bool isRefused = body > maxTransactionBytes
            || std::ranges::any_of(writes, [&](const auto& it) { return it.value.size() > m_maxValueBytes; });
        if (isRefused)
            return controller.onWritesRefused(writes, at(m_nowMs));
        for (const auto& it : writes)
            controller.markStored(it, ++m_version);
    }

    [[nodiscard]] WorkloadState stateOf(const std::string& id) const { return controller.jobs().at(id).progress.state; }

    Metrics metrics;
    Controller controller;
    std::size_t largestValue { 0 };
    std::size_t largestBody { 0 };
    std::size_t mostRunning { 0 };
    std::size_t mostOnOneNode { 0 };

private:
    struct Node {
        std::vector<RunningTask> running;
        std::vector<RunEnd> ended;
        std::uint64_t ends { 0 };
    };

    void report(Node& node, const std::string& name, const std::string& checkpoint)
    {
        const Lifetime lifetime { "i-7f3a91c" + name, 1'780'000'000'000 };
        const auto stored = controller.endsStored(name, lifetime);
        std::erase_if(node.ended, [&](const auto& it) { return it.number <= stored; });
        // Half of the runs end, so that rows hold old and new runs at once.
        const auto count = (node.running.size() + 1) / 2;
        for (std::size_t i = 0; i < count; ++i)
            node.ended.push_back(
                { ++node.ends, node.running[i].task, node.running[i].run, RunEndKind::done, checkpoint });
        node.running.erase(node.running.begin(), node.running.begin() + static_cast<std::ptrdiff_t>(count));
        NodeReport report;
        report.node = name;
        report.zone = "zone-a";
        report.state = ExecutorState::ready;
        report.lifetime = lifetime;
        report.service = "service";
        report.labels = { "a", "rack-0" };
        report.capacity = { 640'000, 1'310'720, 0 };
        report.sentAtMs = report.listedAtMs = static_cast<std::uint64_t>(m_nowMs);
        report.running = node.running;
        std::ranges::copy_n(node.ended.begin(),
            static_cast<std::ptrdiff_t>(std::min<std::size_t>(node.ended.size(), 500)),
            std::back_inserter(report.ended));
        controller.onReport(report, at(m_nowMs));
        (void)controller.grantPermit(report, at(m_nowMs).steady);
    }

    std::size_t m_maxValueBytes;
    std::int64_t m_nowMs { 0 };
    std::uint64_t m_version { 0 };
    std::vector<Node> m_nodes { 3 };
};

}

TEST_CASE("a job of 6,000 running tasks does not stop other jobs with a row that the store refuses")
{
    for (const std::size_t rowBytes : { 65'536, 32'768 }) {
        // The longer checkpoint is beyond the room that is reserved for one.
        for (const auto& checkpoint : { std::string(16, 'c'), std::string(150, 'c') }) {
            CAPTURE(rowBytes);
            CAPTURE(checkpoint.size());
            const auto maxValueBytes = rowBytes / 4 * 3;
            Cluster f { Cluster::settings(rowBytes), maxValueBytes };
            f.add("job-0", maxTasksPerJob);
            f.round(checkpoint);
            f.add("job-1", 2);
            f.add("job-2", 2);
            for (int i = 0; i < 5; ++i)
                f.round(checkpoint);
            CHECK(f.stateOf("job-1") == WorkloadState::completed);
            CHECK(f.stateOf("job-2") == WorkloadState::completed);
            for (int i = 0; i < 200 && f.stateOf("job-0") != WorkloadState::completed; ++i)
                f.round(checkpoint);
            CHECK(f.stateOf("job-0") == WorkloadState::completed);
            CHECK(f.largestValue <= maxValueBytes);
            CHECK(f.mostRunning >= rowBytes / 200);
            CHECK(f.metrics.counter("progress_writes_refused_total").value() == 0);
        }
    }
}

TEST_CASE("rows of many large jobs do not exceed the size of one transaction")
{
    Cluster f { Cluster::settings(65'536), 49'152 };
    for (int i = 0; i < 40; ++i)
        f.add("job-" + std::to_string(i), 450);
    for (int i = 0; i < 20; ++i)
        f.round(std::string(100, 'c'));
    CHECK(f.largestBody <= maxTransactionBytes);
    CHECK(f.largestBody > maxTransactionBytes / 2);
    CHECK(f.metrics.counter("progress_writes_refused_total").value() == 0);
}

// Guards against an executor with so many small tasks that its report exceeds a frame and never arrives.
TEST_CASE("an executor runs no more tasks than its report can list")
{
    Cluster f { Cluster::settings(65'536), 49'152 };
    for (int i = 0; i < 40; ++i)
        f.add("job-" + std::to_string(i), 450);
    for (int i = 0; i < 4; ++i)
        f.round({});
    CHECK(f.mostOnOneNode <= maxRunsPerReport);
    CHECK(f.mostOnOneNode >= maxRunsPerReport / 2);
}

TEST_CASE("a row that the store refuses for good holds up only its own job")
{
    // The store takes far smaller rows than its settings say.
    Cluster f { Cluster::settings(65'536), 2'000 };
    f.add("job-0", 200);
    f.add("job-1", 2);
    f.add("job-2", 2);
    for (int i = 0; i < 6; ++i)
        f.round({});
    CHECK(f.stateOf("job-0") != WorkloadState::completed);
    CHECK(f.stateOf("job-1") == WorkloadState::completed);
    CHECK(f.stateOf("job-2") == WorkloadState::completed);
    const auto refused = f.metrics.counter("progress_writes_refused_total").value();
    CHECK(refused >= 1);
    CHECK(refused <= 2);
}

TEST_CASE("a gang that no progress row describes fails instead of waiting forever")
{
    Cluster f { Cluster::settings(32'768), 24'576 };
    f.add("job-0", 2'000, true);
    f.add("job-1", 100, true);
    for (int i = 0; i < 4; ++i)
        f.round({});
    CHECK(f.stateOf("job-0") == WorkloadState::failed);
    CHECK(f.stateOf("job-1") == WorkloadState::completed);
}

TEST_CASE("an order that fits no frame fails its job and does not stop later orders")
{
    Cluster f { Cluster::settings(65'536), 49'152 };
    f.add("job-0", 2, false, std::string(maxFrameBytes, 'x'));
    f.add("job-1", 2);
    for (int i = 0; i < 4; ++i)
        f.round({});
    CHECK(f.stateOf("job-0") == WorkloadState::failed);
    CHECK(f.stateOf("job-1") == WorkloadState::completed);
    CHECK(f.controller.liveRuns().empty());
    CHECK(f.metrics.counter("orders_too_large_total").value() == 1);
}
