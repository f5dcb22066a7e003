#include "lycheespool/controller/row_cleaner.h"

#include "lycheespool/store/fake_row_store.h"

#include <doctest/doctest.h>

#include <exception>

using namespace lycheespool;

namespace {

/*! @brief A store with a fence and the rows of one cancelled job. */
struct CleanerFixture {
    CleanerFixture()
    {
        RowTransaction first;
        first.writes.push_back({ names.fence(), "1" });
        first.writes.push_back({ names.job("job"), "acceptance" });
        first.writes.push_back({ names.cancel("job"), "" });
        first.writes.push_back({ names.progress("job"), "progress" });
        version = await(store.commit(std::move(first), Duration {})).version;
    }

    void remove(std::uint64_t jobRowVersion, std::uint64_t fenceVersion)
    {
        EndedJobRows ended { "job", jobRowVersion, version, true };
        await([](RowCleaner<FakeRowStore>& it, EndedJobRows ofJob, RowCondition fence) -> Awaitable<bool> {
            co_await it.remove(std::move(ofJob), std::move(fence));
            co_return true;
        }(cleaner, std::move(ended), RowCondition { names.fence(), fenceVersion }));
    }

    [[nodiscard]] bool has(const RowName& name) const { return rows.rows.contains(name); }

    FakeRows rows;
    FakeRowStore store { rows };
    RowNames names;
    RowCleaner<FakeRowStore> cleaner { store, names, std::chrono::seconds { 1 } };
    std::uint64_t version { 0 };
};

}

TEST_CASE_FIXTURE(CleanerFixture, "all rows of an ended job are removed")
{
    remove(version, version);
    CHECK(rows.rows.size() == 1);
    CHECK(has(names.fence()));
}

// Guards against a late removal that deletes the row of a job that was submitted again under the same id.
TEST_CASE_FIXTURE(CleanerFixture, "a newer job row with the same id is kept")
{
    remove(version - 1, version);
    CHECK(has(names.job("job")));
}

// Guards against a job row that is left without a progress row, which the next leader would run again.
TEST_CASE_FIXTURE(CleanerFixture, "an incomplete removal leaves an orphaned progress row, which the next leader finds")
{
    remove(version, version + 1);
    CHECK_FALSE(has(names.job("job")));
    REQUIRE(has(names.progress("job")));
    RowList progress;
    progress.rows.push_back(rows.rows.at(names.progress("job")));
    const auto orphans = findOrphanedProgress({}, progress);
    REQUIRE(orphans.size() == 1);
    CHECK(orphans.front().name == names.progress("job"));
}

TEST_CASE_FIXTURE(CleanerFixture, "a progress row is not orphaned while its job row exists")
{
    RowList submissions;
    submissions.rows.push_back(rows.rows.at(names.job("job")));
    RowList progress;
    progress.rows.push_back(rows.rows.at(names.progress("job")));
    CHECK(findOrphanedProgress(submissions, progress).empty());
}
