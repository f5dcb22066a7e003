#include "lycheespool/document/document_store.h"
#include "lycheespool/document/sample.h"
#include "lycheespool/document/step_table.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace lycheespool::test;

// Guards against an accepted edit that lacks its history or audit row.
TEST_CASE("an accepted edit writes section, head, history and audit")
{
    Sample sample;
    auto edit = newEdit(alpha, Revision { 3 }, workspaceText(alpha, 2));
    edit.time = WallTime { std::chrono::milliseconds { 1234 } };
    const auto result = sample.apply(edit);
    REQUIRE((result.status == EditStatus::accepted));
    CHECK(result.revision == Revision { 5 });
    const auto stored = run(sample.store.read());
    CHECK(stored.head.revision == Revision { 5 });
    CHECK(stored.head.sections.at(alpha).revision == Revision { 5 });
    CHECK(stored.parse().workspaces.at(WorkspaceId { "alpha" }).priority == 2);
    const auto history = RecordCodec::decodeHistory(sample.rows.get("document/history/00000000000000000005").value);
    CHECK(history.previous == Revision { 3 });
    CHECK(history.section.token == edit.token);
    const auto audit = RecordCodec::decodeAudit(sample.rows.get("audit/00000000000000000005").value);
    CHECK(audit.who == "ada");
    CHECK(audit.time == edit.time);
    CHECK(audit.before == workspaceText(alpha, 1));
    CHECK(audit.after == edit.text);
    CHECK(audit.process == EntryId { "entry-1" });
}

// Guards against a lost update when two editors started from the same revision of a section.
TEST_CASE("an edit of an old revision is a conflict with a three-way difference")
{
    Sample sample;
    static_cast<void>(sample.apply(newEdit(alpha, Revision { 3 }, workspaceText(alpha, 2), "ann")));
    const auto result = sample.apply(newEdit(alpha, Revision { 3 }, workspaceText(alpha, 3)));
    REQUIRE((result.status == EditStatus::conflict));
    CHECK(result.conflict->current == Revision { 5 });
    CHECK(result.conflict->currentAuthor == "ann");
    CHECK(
        result.conflict->difference == "@@ line 3\nbase:   priority = 1\ntheirs: priority = 2\nyours:  priority = 3\n");
    CHECK(sample.count("document/history/") == 5);
}

// Guards against an edit that is applied twice because its reply was lost.
TEST_CASE("the token determines the outcome after a lost reply")
{
    Sample sample;
    sample.faults.loseAnswers = 1;
    auto edit = newEdit(alpha, Revision { 3 }, workspaceText(alpha, 2));
    const auto result = sample.apply(edit);
    CHECK((result.status == EditStatus::accepted));
    CHECK(result.revision == Revision { 5 });
    static_cast<void>(sample.apply(newEdit(alpha, Revision { 5 }, workspaceText(alpha, 3))));
    const auto repeated = sample.apply(edit);
    CHECK((repeated.status == EditStatus::accepted));
    CHECK(repeated.revision == Revision { 5 });
    CHECK(sample.count("document/history/") == 6);
    edit.text = workspaceText(alpha, 9);
    CHECK((sample.apply(edit).status == EditStatus::refused));
}

// Guards against an edit that is reported as accepted, or applied later, although the table was unavailable.
TEST_CASE("an edit is not accepted while the table is unavailable")
{
    Sample sample;
    sample.faults.down = true;
    const auto edit = newEdit(alpha, Revision { 3 }, workspaceText(alpha, 2));
    const auto result = sample.apply(edit);
    CHECK((result.status == EditStatus::notAccepted));
    CHECK((run(sample.store.outcome(result.ticket)).status == EditStatus::outcomeUnknown));
    sample.faults.down = false;
    CHECK((run(sample.store.outcome(result.ticket)).status == EditStatus::notAccepted));
    CHECK((sample.apply(edit).status == EditStatus::accepted));
}

// Guards against a base revision of another section, whose text would become the base of a conflict.
TEST_CASE("an edit of a revision that the section never had is refused")
{
    Sample sample;
    CHECK((sample.apply(newEdit(alpha, Revision { 9 }, workspaceText(alpha, 2))).status == EditStatus::refused));
    CHECK((sample.apply(newEdit(alpha, Revision { 2 }, workspaceText(alpha, 2))).status == EditStatus::refused));
}

namespace {

/*! @brief Runs an edit one table step at a time. */
struct SteppedEdit {
    explicit SteppedEdit(Sample& sample)
        : table { sample.rows, gate }
        , store { table, EntryId { "entry-2" }, EditPolicy {} }
    {
    }

    void start(Edit edit)
    {
        asio::co_spawn(io, store.apply(std::move(edit)),
            [this](const std::exception_ptr&, EditResult value) { result = std::move(value); });
        runUntilBlocked();
    }

    void step(Fault fault = Fault::none)
    {
        gate.release(0, fault);
        runUntilBlocked();
    }

    void finish()
    {
        while (!result)
            step();
    }

    void runUntilBlocked()
    {
        while (!result && gate.size() == 0)
            io.run_one();
    }

    StepGate gate;
    StepTable table;
    DocumentStore<StepTable> store;
    std::optional<EditResult> result;
    asio::io_context io;
};

constexpr int preCommitSteps = 4;
constexpr int outcomeSteps = 5;

}

// Guards against concurrent edits of different sections that cause each other to fail.
TEST_CASE("a change of another section is retried, one of the same section is a conflict")
{
    for (const auto& section : { alpha, beta }) {
        Sample sample;
        SteppedEdit run { sample };
        run.start(newEdit(alpha, Revision { 3 }, workspaceText(alpha, 2)));
        for (int i = 0; i < preCommitSteps; ++i)
            run.step();
        const auto other = newEdit(section, Revision { section == alpha ? 3U : 4U }, workspaceText(section, 7));
        REQUIRE((sample.apply(other).status == EditStatus::accepted));
        run.finish();
        CHECK((run.result->status == (section == alpha ? EditStatus::conflict : EditStatus::accepted)));
    }
}

// Guards against a commit that arrives after the edit was reported as not accepted, or a second time.
TEST_CASE("a commit in flight takes effect at most once")
{
    Sample sample;
    SteppedEdit run { sample };
    run.start(newEdit(alpha, Revision { 3 }, workspaceText(alpha, 2)));
    for (int i = 0; i < preCommitSteps; ++i)
        run.step();
    run.step(Fault::writeDelayed);
    run.finish();
    CHECK((run.result->status == EditStatus::accepted));
    REQUIRE(run.gate.delayed.size() == 1);
    CHECK_FALSE(sample.rows.commit(run.gate.delayed[0]).committed);
    CHECK(sample.count("document/history/") == 5);
}

// Guards against a commit that takes effect after the edit was reported as not accepted.
TEST_CASE("an edit that was reported as not accepted never takes effect")
{
    Sample sample;
    SteppedEdit run { sample };
    run.start(newEdit(alpha, Revision { 3 }, workspaceText(alpha, 2)));
    for (int i = 0; i < preCommitSteps; ++i)
        run.step();
    run.step(Fault::writeDelayed);
    for (int i = 0; i < outcomeSteps; ++i)
        run.step();
    run.step(Fault::unavailable);
    run.finish();
    CHECK((run.result->status == EditStatus::notAccepted));
    REQUIRE(run.gate.delayed.size() == 1);
    CHECK_FALSE(sample.rows.commit(run.gate.delayed[0]).committed);
    CHECK(sample.count("document/history/") == 4);
}
