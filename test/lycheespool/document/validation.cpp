#include "lycheespool/document/validation.h"
#include "lycheespool/document/cluster_capacity.h"
#include "lycheespool/document/sample.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace lycheespool;
using namespace lycheespool::test;

namespace {

/*! @brief Returns one worker with 60 cores, 128 GiB and 8 accelerators in each of z1, z2 and z3. */
std::vector<WorkerGroup> threeWorkers()
{
    std::vector<WorkerGroup> groups;
    for (const auto* zone : { "z1", "z2", "z3" })
        groups.push_back({ ZoneId { zone }, RackId { "r" }, 1, 60, 131072, 8 });
    return groups;
}

std::string guarantee(const SectionId& section, unsigned cells, const std::string& extra = "")
{
    auto text = workspaceText(section, 1);
    for (unsigned i = 0; i < cells; ++i)
        text += fmt::format("[[{}.guarantee]]\nadjacency = \"worker\"\ntasks = 1\ncores = 8\nmemory_gib = 8\n"
                            "accelerators = 8\n{}",
            section.value(), extra);
    return text;
}

std::string zonesText(bool isLastInService)
{
    return fmt::format("[zones]\noperators = [\"zoe\"]\n[zones.z1]\nin_service = true\n[zones.z2]\nin_service = true\n"
                       "[zones.z3]\nin_service = {}\nreason = \"work\"\n",
        isLastInService);
}

/*! @brief Sample whose store checks guarantees against three workers. */
struct CheckedSample : Sample {
    DocumentStore<EmulatedTable> checked { table, EntryId { "entry-1" },
        EditPolicy { 8, [](unsigned) { return Duration {}; }, makeCapacityCheck(threeWorkers()) } };

    EditResult edit(const SectionId& section, std::string text, std::string author = "ada", bool isOverride = false)
    {
        const auto base = run(checked.read()).find(section).record.revision;
        auto edit = newEdit(section, base, std::move(text), std::move(author));
        edit.overrideWarnings = isOverride;
        return run(checked.apply(edit));
    }

    EditStatus status(const SectionId& section, std::string text, std::string author = "ada", bool isOverride = false)
    {
        return edit(section, std::move(text), std::move(author), isOverride).status;
    }
};

}

// Guards against an operator who edits another team's section, or grants the permission to themselves.
TEST_CASE("only the operators of a section and administrators may edit it")
{
    CheckedSample sample;
    const SectionId created { "workspace.new" };
    CHECK((sample.status(alpha, workspaceText(alpha, 2), "ann") == EditStatus::accepted));
    CHECK((sample.status(zonesSection(), zonesText(true), "zoe") == EditStatus::accepted));
    const auto result = sample.edit(alpha, "[workspace.alpha]\noperators = [\"zoe\"]\n", "zoe");
    CHECK((result.status == EditStatus::refused));
    CHECK((result.error->kind() == ErrorKind::forbidden));
    CHECK(result.error->remedy().find("ann") != std::string::npos);
    CHECK((sample.status(limitsSection(), "[limits]\nadministrators = [\"ann\"]\n", "ann") == EditStatus::refused));
    CHECK((sample.status(created, workspaceText(created, 1), "ann") == EditStatus::refused));
    CHECK((sample.status(alpha, "", "ann") == EditStatus::refused));
    CHECK((sample.status(created, workspaceText(created, 1)) == EditStatus::accepted));
    CHECK((sample.status(alpha, "") == EditStatus::accepted));
}

// Guards against an empty table into which any user, or no user, can write.
TEST_CASE("the first edit creates section limits and its author must be an administrator")
{
    MemoryTable rows;
    TableFaults faults;
    EmulatedTable table { rows, faults };
    DocumentStore store { table, EntryId { "entry-1" }, EditPolicy {} };
    const std::string limits = "[limits]\nadministrators = [\"ada\"]\n";
    CHECK((run(store.apply(newEdit(zonesSection(), {}, zonesText(true)))).status == EditStatus::refused));
    CHECK((run(store.apply(newEdit(limitsSection(), {}, limits, "eve"))).status == EditStatus::refused));
    CHECK((run(store.apply(newEdit(limitsSection(), {}, limits))).status == EditStatus::accepted));
}

// Guards against an inconsistent document, which processes would interpret differently.
TEST_CASE("unknown zones and exceeded limits are refused")
{
    CheckedSample sample;
    const auto unknown = sample.edit(alpha, guarantee(alpha, 1, "zone = \"z9\"\n"));
    CHECK((unknown.status == EditStatus::refused));
    CHECK(std::string { unknown.error->what() }.find("unknown zone \"z9\"") != std::string::npos);
    CHECK((sample.status(alpha, guarantee(alpha, 1, "zone = \"z3\"\n")) == EditStatus::accepted));
    const auto withoutZone = "[zones.z1]\nin_service = true\n[zones.z2]\nin_service = true\n";
    CHECK((sample.status(zonesSection(), withoutZone, "ada", true) == EditStatus::refused));
    const auto queue = workspaceText(beta, 1) + "[workspace.beta.queue]\njobs = 100001\n";
    CHECK((sample.status(beta, queue) == EditStatus::refused));
    const auto oneWorkspace = "[limits]\nadministrators = [\"ada\"]\nmax_workspaces = 1\n";
    CHECK((sample.status(limitsSection(), oneWorkspace) == EditStatus::refused));
}

// Guards against guarantees that cannot be met, and against a zone drain that silently violates one.
TEST_CASE("guarantees beyond the capacity are refused and drains that violate one need an override")
{
    CheckedSample sample;
    CHECK((sample.status(alpha, guarantee(alpha, 4)) == EditStatus::refused));
    CHECK((sample.status(alpha, guarantee(alpha, 2)) == EditStatus::accepted));
    CHECK((sample.status(beta, guarantee(beta, 2), "ada", true) == EditStatus::refused));
    CHECK((sample.status(zonesSection(), zonesText(false)) == EditStatus::accepted));
    const auto growth = sample.edit(alpha, guarantee(alpha, 3));
    CHECK((growth.status == EditStatus::needsOverride));
    CHECK((growth.findings.at(0).severity == FindingSeverity::warning));
    CHECK((sample.status(zonesSection(), zonesText(true)) == EditStatus::accepted));
    CHECK((sample.status(alpha, guarantee(alpha, 3)) == EditStatus::accepted));
    CHECK((sample.status(zonesSection(), zonesText(false)) == EditStatus::needsOverride));
    CHECK((sample.status(zonesSection(), zonesText(false), "ada", true) == EditStatus::accepted));
    // The drained zone must not prevent edits of other sections.
    CHECK((sample.status(beta, workspaceText(beta, 5)) == EditStatus::accepted));
}

// Guards against a check that accepts more than the total resources of the workers.
TEST_CASE("guarantees that fit never exceed the total resources of the workers")
{
    CHECK(rc::check([] {
        Document document;
        WorkspaceSettings workspace;
        std::uint64_t accelerators = 0;
        std::uint64_t cores = 0;
        const auto count = *rc::gen::inRange(1, 12);
        for (int i = 0; i < count; ++i) {
            const auto adjacency = *rc::gen::element(CellAdjacency::worker, CellAdjacency::rack, CellAdjacency::zone);
            const auto tasks = *rc::gen::inRange<std::uint32_t>(1, 5);
            const auto size = *rc::gen::inRange<std::uint32_t>(1, 4);
            workspace.guarantees.push_back({ adjacency, tasks, size * 4, 1024, size, std::nullopt });
            accelerators += std::uint64_t { tasks } * size;
            cores += std::uint64_t { tasks } * size * 4;
        }
        document.workspaces[WorkspaceId { "a" }] = workspace;
        const bool fits = makeCapacityCheck(threeWorkers())(document).empty();
        RC_CLASSIFY(fits);
        RC_ASSERT(!fits || (accelerators <= 24 && cores <= 180));
    }));
}
