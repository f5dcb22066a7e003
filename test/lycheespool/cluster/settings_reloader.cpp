#include "lycheespool/cluster/settings_reloader.h"

#include <doctest/doctest.h>

using namespace lycheespool;

namespace {

/*! @brief Settings file that a test can change or make unreadable. */
struct SettingsFile {
    NodeSettings settings;
    bool isUnreadable { false };

    [[nodiscard]] NodeSettings read() const
    {
        if (isUnreadable)
            throw Error { ErrorKind::invalidSetting, "the settings are not readable", "correct the settings" };
        return settings;
    }
};

/*! @brief A reloader of the file, and the seeds that it applied. */
struct ReloaderFixture {
    SettingsFile file;
    std::vector<std::vector<Address>> applied;
    SettingsReloader<std::function<NodeSettings()>> reloader { {}, [this] { return file.read(); },
        [this](const std::vector<Address>& seeds) { applied.push_back(seeds); } };
};

const std::vector<Address> newSeeds { { "10.0.0.1", 7000 }, { "10.0.0.2", 7000 } };

}

// Guards against a process that keeps the seeds of its start: all of them may have been removed by the time it has to
// find the leader.
TEST_CASE("new seeds are applied exactly once")
{
    ReloaderFixture fixture;
    fixture.file.settings.seeds = newSeeds;
    fixture.reloader.check(false);
    fixture.reloader.check(false);
    fixture.reloader.check(true);
    REQUIRE(fixture.applied.size() == 1);
    CHECK(fixture.applied.front() == newSeeds);
}

// Guards against a process that discards its settings, or terminates, because a settings file was partially written.
TEST_CASE("invalid settings change nothing, and a later valid file is applied")
{
    ReloaderFixture fixture;
    fixture.file.settings.seeds = newSeeds;
    fixture.file.isUnreadable = true;
    fixture.reloader.check(true);
    fixture.reloader.check(false);
    CHECK(fixture.applied.empty());
    fixture.file.isUnreadable = false;
    fixture.reloader.check(false);
    CHECK(fixture.applied.size() == 1);
}

// Guards against a change of addresses or bounds that is treated as new seeds.
TEST_CASE("changes other than seeds are not applied without a restart")
{
    ReloaderFixture fixture;
    fixture.file.settings.store = { "10.0.0.9", 9000 };
    fixture.file.settings.bounds.maxLease = std::chrono::seconds { 3 };
    fixture.reloader.check(true);
    CHECK(fixture.applied.empty());
}
