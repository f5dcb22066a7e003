#include "lycheespool/document/document_history.h"
#include "lycheespool/document/audit_log.h"
#include "lycheespool/document/sample.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace lycheespool::test;

namespace {

WallTime at(std::int64_t ms) { return WallTime { std::chrono::milliseconds { ms } }; }

struct Log {
    Sample sample;
    Metrics metrics;
    AuditLog<EmulatedTable> log { sample.table, EntryId { "entry-1" }, Incarnation { 5 }, metrics };
    DocumentHistory<EmulatedTable> history { sample.table };
};

}

// Guards against a restore that rewrites history instead of adding to it, or takes the text of another section.
TEST_CASE("a restore writes an older text as a new revision")
{
    Sample sample;
    static_cast<void>(sample.apply(newEdit(alpha, Revision { 3 }, workspaceText(alpha, 2))));
    const auto other = run(sample.store.restore(newEdit(alpha, Revision { 5 }, ""), Revision { 4 }));
    CHECK((other.status == EditStatus::refused));
    const auto result = run(sample.store.restore(newEdit(alpha, Revision { 5 }, ""), Revision { 3 }));
    CHECK(result.revision == Revision { 6 });
    DocumentHistory history { sample.table };
    const auto records = run(history.ofSection(alpha, 10));
    REQUIRE(records.size() == 3);
    CHECK(records[0].section.content.text == workspaceText(alpha, 1));
    CHECK(records[1].section.revision == Revision { 5 });
    CHECK(run(history.ofSection(alpha, 2)).size() == 2);
    CHECK(run(history.ofSection(SectionId { "workspace.none" }, 2)).empty());
}

// Guards against an audit query that misses records behind the first block of keys or ignores a filter.
TEST_CASE("audit queries filter by section, author, time and limit")
{
    Log log;
    Revision base { 3 };
    for (unsigned i = 0; i < 120; ++i) {
        auto edit = newEdit(alpha, base, workspaceText(alpha, i), i % 2 == 0 ? "ann" : "ada");
        edit.time = at(1000 + i);
        base = log.sample.apply(edit).revision;
    }
    log.log.record("zone drained", "z1", "by zoe", at(1050));
    CHECK(run(log.log.flush()));
    CHECK(run(log.history.audit({ .subject = "workspace.alpha", .limit = 500 })).size() == 121);
    CHECK(run(log.history.audit({ .who = "ann", .limit = 500 })).size() == 60);
    const auto range = run(log.history.audit({ .from = at(1049), .to = at(1052) }));
    REQUIRE(range.size() == 4);
    CHECK(range.front().time == at(1051));
    CHECK(run(log.history.audit({ .subject = "z1" })).at(0).act == "zone drained");
    CHECK(run(log.history.audit({ .limit = 7 })).size() == 7);
}

// Guards against acts that are lost or written twice when the table is down or loses an answer.
TEST_CASE("acts of the system wait for the table and are written once")
{
    Log log;
    log.sample.faults.down = true;
    for (int i = 0; i < 100; ++i)
        log.log.record("worker quarantined", "w1", "3 failures", at(i));
    CHECK_FALSE(run(log.log.flush()));
    log.sample.faults.down = false;
    log.sample.faults.loseAnswers = 2;
    CHECK_FALSE(run(log.log.flush()));
    CHECK_FALSE(run(log.log.flush()));
    while (!run(log.log.flush())) { }
    CHECK(log.sample.count("audit/system/") == 100);
}

// Guards against a queue without bound, and against dropped records that nobody hears of.
TEST_CASE("records beyond the bound are dropped, counted and reported")
{
    Log log;
    log.sample.faults.down = true;
    for (std::size_t i = 0; i < AuditQueue::capacity + 10; ++i)
        log.log.record("guarantee lost", "a", "", at(1));
    CHECK(log.metrics.counter("audit_records_dropped_total").value() == 10);
    log.sample.faults.down = false;
    CHECK(run(log.log.flush()));
    CHECK(log.sample.count("audit/system/") == AuditQueue::capacity + 1);
    const auto reports = run(log.history.audit({ .from = at(1), .limit = 5000 }));
    const auto isReport = [](const AuditRecord& it) { return it.after == "10 records"; };
    CHECK(std::ranges::count_if(reports, isReport) == 1);
}
