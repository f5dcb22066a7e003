#include "lycheespool/cluster/settings_reloader.h"

#include <doctest/doctest.h>

using namespace lycheespool;

namespace {

/*! @brief Settings file that a test changes or breaks. */
struct SettingsFile {
    NodeSettings settings;
    bool isBroken { false };

    [[nodiscard]] NodeSettings read() const
    {
        if (isBroken)
            throw Error { ErrorKind::invalidSetting, "the settings are not readable", "mend them" };
        return settings;
    }
};

/*! @brief A reload of the file, and the seeds that it applied. */
struct ReloadFixture {
    SettingsFile file;
    std::vector<std::vector<Address>> applied;
    SettingsReloader<std::function<NodeSettings()>> reload { {}, [this] { return file.read(); },
        [this](const std::vector<Address>& seeds) { applied.push_back(seeds); } };
};

const std::vector<Address> newSeeds { { "10.0.0.1", 7000 }, { "10.0.0.2", 7000 } };

}

// Guards against seeds that stay those of the start: all of them may be gone when the leader has to be found.
TEST_CASE("new seeds take effect once")
{
    ReloadFixture fixture;
    fixture.file.settings.seeds = newSeeds;
    fixture.reload.check(false);
    fixture.reload.check(false);
    fixture.reload.check(true);
    REQUIRE(fixture.applied.size() == 1);
    CHECK(fixture.applied.front() == newSeeds);
}

// Guards against a process that drops its settings, or ends, because a file was written only in part.
TEST_CASE("settings that are wrong change nothing, and a later good file applies")
{
    ReloadFixture fixture;
    fixture.file.settings.seeds = newSeeds;
    fixture.file.isBroken = true;
    fixture.reload.check(true);
    fixture.reload.check(false);
    CHECK(fixture.applied.empty());
    fixture.file.isBroken = false;
    fixture.reload.check(false);
    CHECK(fixture.applied.size() == 1);
}

// Guards against a change of addresses or bounds that is taken for new seeds.
TEST_CASE("other changes wait for a restart")
{
    ReloadFixture fixture;
    fixture.file.settings.store = { "10.0.0.9", 9000 };
    fixture.file.settings.bounds.maxLease = std::chrono::seconds { 3 };
    fixture.reload.check(true);
    CHECK(fixture.applied.empty());
}
