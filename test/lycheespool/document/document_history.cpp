#include "lycheespool/document/document_history.h"
#include "lycheespool/document/audit_log.h"
#include "lycheespool/document/sample.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace lycheespool::test;

namespace {

WallTime at(std::int64_t ms) { return WallTime { std::chrono::milliseconds { ms } }; }

struct AuditFixture {
    Sample sample;
    Metrics metrics;
    AuditLog<EmulatedTable> log { sample.table, EntryId { "entry-1" }, Incarnation { 5 }, metrics };
    DocumentHistory<EmulatedTable> history { sample.table };
};

}

// Guards against a restore that modifies history instead of appending to it, or uses the text of another section.
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

// Guards against an audit query that misses records beyond the first block of keys or ignores a filter.
TEST_CASE("audit queries filter by section, author, time and limit")
{
    AuditFixture fixture;
    Revision base { 3 };
    for (unsigned i = 0; i < 120; ++i) {
        auto edit = newEdit(alpha, base, workspaceText(alpha, i), i % 2 == 0 ? "ann" : "ada");
        edit.time = at(1000 + i);
        base = fixture.sample.apply(edit).revision;
    }
    fixture.log.record("zone drained", "z1", "by zoe", at(1050));
    CHECK(run(fixture.log.flush()));
    CHECK(run(fixture.history.audit({ .subject = "workspace.alpha", .limit = 500 })).size() == 121);
    CHECK(run(fixture.history.audit({ .who = "ann", .limit = 500 })).size() == 60);
    const auto range = run(fixture.history.audit({ .from = at(1049), .to = at(1052) }));
    REQUIRE(range.size() == 4);
    CHECK(range.front().time == at(1051));
    CHECK(run(fixture.history.audit({ .subject = "z1" })).at(0).act == "zone drained");
    CHECK(run(fixture.history.audit({ .limit = 7 })).size() == 7);
}

// Guards against system actions that are lost or written twice when the table is unavailable or a reply is lost.
TEST_CASE("system actions are queued while the table is unavailable and written once")
{
    AuditFixture fixture;
    fixture.sample.faults.down = true;
    for (int i = 0; i < 100; ++i)
        fixture.log.record("worker quarantined", "w1", "3 failures", at(i));
    CHECK_FALSE(run(fixture.log.flush()));
    fixture.sample.faults.down = false;
    fixture.sample.faults.loseAnswers = 2;
    CHECK_FALSE(run(fixture.log.flush()));
    CHECK_FALSE(run(fixture.log.flush()));
    while (!run(fixture.log.flush())) { }
    CHECK(fixture.sample.count("audit/system/") == 100);
}

// Guards against an unbounded queue, and against dropped records that are not reported.
TEST_CASE("records beyond the queue capacity are dropped, counted and reported")
{
    AuditFixture fixture;
    fixture.sample.faults.down = true;
    for (std::size_t i = 0; i < AuditQueue::capacity + 10; ++i)
        fixture.log.record("guarantee lost", "a", "", at(1));
    CHECK(fixture.metrics.counter("audit_records_dropped_total").value() == 10);
    fixture.sample.faults.down = false;
    CHECK(run(fixture.log.flush()));
    CHECK(fixture.sample.count("audit/system/") == AuditQueue::capacity + 1);
    const auto reports = run(fixture.history.audit({ .from = at(1), .limit = 5000 }));
    const auto isReport = [](const AuditRecord& it) { return it.after == "10 records"; };
    CHECK(std::ranges::count_if(reports, isReport) == 1);
}
