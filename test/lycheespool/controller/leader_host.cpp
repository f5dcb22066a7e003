#include "lycheespool/controller/leader_host.h"

#include "lycheespool/store/fake_row_store.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

/*! @brief A probe that finds no other holder. */
struct GoneHolder {
    [[nodiscard]] Awaitable<HolderState> ask(LeaseRow) { co_return HolderState::gone; }
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
