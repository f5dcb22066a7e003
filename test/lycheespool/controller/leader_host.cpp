#include "lycheespool/controller/leader_host.h"

#include "lycheespool/store/fake_row_store.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

/*! @brief A probe that finds no other holder. */
struct GoneHolder {
    [[nodiscard]] Awaitable<HolderState> ask(LeaseRow) { co_return HolderState::gone; }
};

/*! @brief Store whose feed of submissions and cancellations can fail. */
class FaultyIntakeStore : public FakeRowStore {
public:
    using FakeRowStore::FakeRowStore;

    bool failsIntake { false };

    [[nodiscard]] Awaitable<RowChanges> changes(std::string table, std::uint64_t after, Duration wait, Duration timeout)
    {
        if (failsIntake && table == RowNames::submissionTable)
            throw Error { ErrorKind::unavailable, "the store refused the call with 503", "try again later" };
        co_return co_await FakeRowStore::changes(std::move(table), after, wait, timeout);
    }
};

void insertRow(FakeRows& rows, const std::string& id, const std::string& value)
{
    const auto name = RowNames {}.job(id);
    rows.rows[name] = { name, value, ++rows.version, false };
}

JobRow jobOf(std::uint32_t tasks, std::uint32_t occurrences)
{
    JobRow row;
    row.request.steps.resize(4);
    for (auto& it : row.request.steps)
        it.tasks = tasks;
    row.request.occurrences = occurrences;
    return row;
}

}

// Guards against a stored row that ends each process that leads, one after another.
TEST_CASE("stored jobs that cannot be loaded are put aside and counted, and the others are loaded")
{
    using Host = LeaderHost<FakeRowStore, GoneHolder>;
    FakeRows rows;
    insertRow(rows, "a-overflow", packValue(jobOf(2'147'483'648U, 2'147'483'648U)));
    insertRow(rows, "b-text", "text");
    insertRow(rows, "c-sound", packValue(jobOf(1, 1)));
    FakeRowStore store { rows };
    GoneHolder probe;
    Metrics metrics;
    OperatorWatcher<FakeRowStore> watcher { store, {}, [] {} };
    asio::io_context context;
    const auto host = std::make_shared<Host>(context.get_executor(), store, probe, watcher, RowNames {},
        LeaseRow { "a", 1, "127.0.0.1:1", 0 }, ControllerSettings {}, metrics);
    host->start();
    const auto giveUp = BootClock {}.now() + 5s;
    while (BootClock {}.now() < giveUp && !(host->controller() && !host->controller()->jobs().empty()))
        context.run_for(10ms);
    REQUIRE(host->controller());
    CHECK(host->controller()->jobs().contains("c-sound"));
    CHECK(host->controller()->jobs().size() == 1);
    CHECK(metrics.counter("job_rows_unreadable_total").value() == 2);
}

namespace {

/*! @brief A leader with one queue for each of two services; the second service has an executor only on request. */
struct IntakeFixture {
    IntakeFixture()
    {
        for (const std::string service : { "first", "second" }) {
            auto job = jobOf(1, 1);
            job.request.steps.resize(1);
            job.request.steps.front().perTask = { 1000, 1000, 1 };
            job.request.steps.front().estimatedMs = 2000;
            job.queue = service;
            job.policy = { service, 1, 2, 3.0, 1000 };
            insertRow(rows, service, packValue(job));
        }
        asio::co_spawn(context, watcher.run(), asio::detached);
        host->start();
    }

    [[nodiscard]] static ControllerSettings shortBounds()
    {
        ControllerSettings settings;
        settings.bounds.cancelApply = 1s;
        return settings;
    }

    /*! @brief Reports the executor of a service as ready, until a run of its job is planned or a time has passed. */
    bool isPlanned(const std::string& service, Duration longest)
    {
        const auto started = BootClock {}.now();
        bool isFound = false;
        while (!isFound && BootClock {}.now() < started + longest) {
            NodeReport report;
            report.node = service;
            report.zone = "zone";
            report.state = ExecutorState::ready;
            report.lifetime = { service, 1 };
            report.service = service;
            report.capacity = { 64000, 131072, 8 };
            report.sentAtMs = static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(BootClock {}.now().time_since_epoch()).count());
            report.listedAtMs = report.sentAtMs;
            if (host->controller())
                (void)host->onReport(connection, report);
            context.run_for(20ms);
            isFound = host->controller() && std::ranges::any_of(host->controller()->liveRuns(), [&](const auto& it) {
                return it.first.task.job == service;
            });
        }
        return isFound;
    }

    FakeRows rows;
    FaultyIntakeStore store { rows };
    GoneHolder probe;
    Metrics metrics;
    ControllerSettings settings = shortBounds();
    asio::io_context context;
    OperatorWatcher<FaultyIntakeStore> watcher { store,
        { "op",
            [](const auto&, const auto&) {
                OperatorState state;
                state.config = std::make_shared<const OperatorConfig>();
                return state;
            } },
        [] {} };
    // Never opened, so that orders are planned and not sent.
    std::shared_ptr<RpcConnection> connection
        = std::make_shared<RpcConnection>(asio::ip::tcp::socket { context }, metrics);
    std::shared_ptr<LeaderHost<FaultyIntakeStore, GoneHolder>> host
        = std::make_shared<LeaderHost<FaultyIntakeStore, GoneHolder>>(context.get_executor(), store, probe, watcher,
            RowNames {}, LeaseRow { "a", 1, "127.0.0.1:1", 0 }, settings, metrics);
};

}

// Guards against starts of jobs whose cancellation was acknowledged while the leader could not read it (UNASKED).
TEST_CASE("nothing is started while cancellations cannot be read")
{
    IntakeFixture f;
    CHECK(f.isPlanned("first", 10s));
    f.store.failsIntake = true;
    f.context.run_for(f.settings.bounds.cancelApply);
    CHECK_FALSE(f.isPlanned("second", 1s));
    f.store.failsIntake = false;
    CHECK(f.isPlanned("second", 10s));
}
