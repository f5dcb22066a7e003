#include "lycheespool/controller/lease_row.h"
#include "lycheespool/net/rpc_server.h"
#include "lycheespool/nodeagent/node_agent.h"
#include "lycheespool/store/fake_row_store.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <mutex>
#include <optional>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

/*! @brief Executor whose answers the test sets; a model of ExecutorControl. */
struct FakeExecutor {
    /*! @brief Answers to the next calls; later calls have no answer. */
    std::vector<HoldAnswer> answers;
    std::vector<HoldRequest> holds;
    /*! @brief Start of the lifetime that answers, Unix ms; calls to another one are refused. Any if empty. */
    std::optional<std::int64_t> startedUnixMs;

    [[nodiscard]] Awaitable<ExecutorAnswer> start(RunStart, Duration) { co_return ExecutorAnswer {}; }
    [[nodiscard]] Awaitable<ExecutorAnswer> stop(RunStop, Duration) { co_return ExecutorAnswer {}; }
    [[nodiscard]] Awaitable<HoldAnswer> hold(HoldRequest request, Duration)
    {
        holds.push_back(std::move(request));
        co_await sleepFor(5ms);
        HoldAnswer answer;
        if (startedUnixMs && holds.back().lifetime.startedUnixMs != *startedUnixMs) {
            answer.answer.kind = ExecutorAnswerKind::wrongLifetime;
        } else if (!answers.empty()) {
            answer = std::move(answers.front());
            answers.erase(answers.begin());
        }
        co_return answer;
    }
};

static_assert(ExecutorControl<FakeExecutor>);

HoldAnswer accepted(ListExtent extent = ListExtent::complete)
{
    HoldAnswer answer;
    answer.answer.kind = ExecutorAnswerKind::accepted;
    answer.answer.clockMs = 1000;
    answer.extent = extent;
    return answer;
}

/*! @brief An agent with an executor and a leader that stores all ends. */
class Fixture {
public:
    Fixture()
        : m_server { m_pool, { "127.0.0.1", 0 }, m_metrics,
            [this](const auto& source, Envelope envelope) { answer(source, envelope); }, [](const auto&) {} }
    {
        m_server.start();
        StoredRow row;
        row.name = RowNames {}.lease();
        row.value = packValue(LeaseRow { "leader", 1, m_server.address().toString(), 1 });
        row.version = ++m_rows.version;
        m_rows.rows[row.name] = row;
        m_settings.node = "node";
        m_agent = std::make_shared<NodeAgent<FakeRowStore, FakeExecutor>>(
            m_context.get_executor(), m_settings, m_store, executor, RowNames {}, m_metrics);
        m_agent->start();
    }
    ~Fixture() { m_server.stop(); }
    Fixture(const Fixture&) = delete;
    Fixture& operator=(const Fixture&) = delete;

    void announce(std::int64_t startedUnixMs)
    {
        ExecutorAnnouncement announcement;
        announcement.lifetime = { "executor", startedUnixMs };
        announcement.sequence = 1;
        m_agent->onAnnouncement(announcement);
    }

    /*! @brief Runs the agent until a report satisfies a condition; returns false if none does in 10 s. */
    bool runUntil(const std::function<bool(const NodeReport&)>& condition)
    {
        const auto end = BootClock {}.now() + 10s;
        while (BootClock {}.now() < end) {
            m_context.run_for(5ms);
            if (std::ranges::any_of(reports(), condition))
                return true;
        }
        return false;
    }

    [[nodiscard]] std::vector<NodeReport> reports()
    {
        const std::lock_guard lock { m_mutex };
        return m_reports;
    }

    void runFor(Duration time) { m_context.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(time)); }

    FakeExecutor executor;
    std::atomic<bool> grantsPermits { true };

private:
    void answer(const std::shared_ptr<RpcConnection>& source, const Envelope& envelope)
    {
        const auto report = envelope.as<NodeReport>();
        const std::lock_guard lock { m_mutex };
        m_reports.push_back(report);
        NodeReportReply reply;
        reply.leads = true;
        reply.active = true;
        reply.epoch = Epoch { 1 };
        reply.permitMs = grantsPermits ? 7000 : 0;
        reply.endsStored = report.ended.empty() ? 0 : report.ended.back().number;
        source->send(reply, envelope.correlation);
    }

    std::mutex m_mutex;
    std::vector<NodeReport> m_reports;
    FakeRows m_rows;
    FakeRowStore m_store { m_rows };
    NodeSettings m_settings;
    Metrics m_metrics;
    IoPool m_pool { 1 };
    RpcServer m_server;
    asio::io_context m_context;
    std::shared_ptr<NodeAgent<FakeRowStore, FakeExecutor>> m_agent;
};

}

// Guards against ended tasks that start again: their ends did not fit into a list whose stored ends were removed.
TEST_CASE("a list that was cut off stays partial after its stored ends were removed")
{
    Fixture f;
    auto list = accepted(ListExtent::partial);
    list.ended = { { 1, "job.0.0.0", 1, RunEndKind::done, {} } };
    f.executor.answers = { list };
    f.announce(1);
    const auto isTrimmed = [](const NodeReport& it) { return it.listedAtMs > 0 && it.ended.empty(); };
    REQUIRE(f.runUntil(isTrimmed));
    const auto reports = f.reports();
    CHECK(std::ranges::find_if(reports, isTrimmed)->listExtent == ListExtent::partial);
}

// Guards against an agent that keeps the lease of a lost executor alive in place of this executor.
TEST_CASE("an agent asks for a permit only after the executor of this lifetime has answered")
{
    Fixture f;
    REQUIRE(f.runUntil([](const NodeReport& it) { return it.state == ExecutorState::absent; }));
    f.announce(1);
    REQUIRE(f.runUntil([](const NodeReport& it) { return it.lifetime.isKnown(); }));
    CHECK(std::ranges::none_of(f.reports(), &NodeReport::extendsLease));
    f.executor.answers.assign(3, accepted());
    CHECK(f.runUntil([](const NodeReport& it) { return it.extendsLease && it.provesExecutor(); }));
}

// Guards against runs that are taken for lost, or counted as crashed, on the evidence of a mere announcement.
TEST_CASE("a lifetime that has never answered is not reported as the one before")
{
    Fixture f;
    f.executor.startedUnixMs = 2;
    f.executor.answers.assign(3, accepted());
    f.announce(1);
    f.runFor(50ms);
    f.announce(2);
    REQUIRE(f.runUntil([](const NodeReport& it) { return it.lifetime.startedUnixMs == 2 && it.provesExecutor(); }));
    CHECK_FALSE(f.reports().back().previousLifetime.isKnown());
    f.executor.startedUnixMs = 3;
    f.executor.answers.assign(3, accepted());
    f.announce(3);
    REQUIRE(f.runUntil([](const NodeReport& it) { return it.lifetime.startedUnixMs == 3 && it.provesExecutor(); }));
    CHECK(f.reports().back().previousLifetime.startedUnixMs == 2);
}

// Guards against starts that are planned for a crashed executor until its agent's next report is due.
TEST_CASE("an agent reports at once that its executor has stopped answering")
{
    Fixture f;
    f.executor.answers.assign(3, accepted());
    f.announce(1);
    REQUIRE(f.runUntil([](const NodeReport& it) { return it.provesExecutor(); }));
    const auto isSilent = [](const NodeReport& it) { return it.listedAtMs > 0 && !it.extendsLease; };
    REQUIRE(f.runUntil(isSilent));
    const auto reports = f.reports();
    const auto silent = std::ranges::find_if(reports, isSilent);
    REQUIRE(silent != reports.begin());
    CHECK(silent->sentAtMs - std::prev(silent)->sentAtMs < 600);
}

// Guards against a lease of a new executor that lasts longer than the leader knows.
TEST_CASE("a lease is extended only by a permit for its own lifetime")
{
    Fixture f;
    f.executor.answers.assign(20, accepted());
    f.announce(1);
    const auto hasLease = [&](std::int64_t started) {
        return std::ranges::any_of(f.executor.holds,
            [&](const auto& it) { return it.lifetime.startedUnixMs == started && it.leaseEndMs.has_value(); });
    };
    REQUIRE(f.runUntil([&](const NodeReport&) { return hasLease(1); }));
    f.grantsPermits = false;
    f.executor.answers.assign(20, accepted());
    f.executor.startedUnixMs = 2;
    f.announce(2);
    REQUIRE(f.runUntil([](const NodeReport& it) { return it.lifetime.startedUnixMs == 2 && it.provesExecutor(); }));
    f.runFor(300ms);
    CHECK_FALSE(hasLease(2));
    f.grantsPermits = true;
    CHECK(f.runUntil([&](const NodeReport&) { return hasLease(2); }));
}
