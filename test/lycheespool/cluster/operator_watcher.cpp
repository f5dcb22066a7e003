#include "lycheespool/cluster/operator_watcher.h"

#include "lycheespool/net/keep_running.h"
#include "lycheespool/store/fake_row_store.h"

#include <doctest/doctest.h>

#include <stdexcept>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

/*! @brief Store whose feed can fail while its lists work. */
class FaultyFeedStore : public FakeRowStore {
public:
    using FakeRowStore::FakeRowStore;

    bool failsFeed { false };

    [[nodiscard]] Awaitable<RowChanges> changes(std::string table, std::uint64_t after, Duration wait, Duration timeout)
    {
        if (failsFeed)
            throw Error { ErrorKind::outcomeUnknown, "cannot parse the store's response", "ask the store's operators" };
        co_return co_await FakeRowStore::changes(std::move(table), after, wait, timeout);
    }
};

/*! @brief A watcher whose decoder takes the version of the config from the row's text. */
struct Fixture {
    FakeRows rows;
    FaultyFeedStore store { rows };
    unsigned failingDecodes { 0 };
    OperatorWatcher<FaultyFeedStore> watcher { store,
        { "op",
            [this](const auto& values, const OperatorState&) {
                if (failingDecodes > 0) {
                    --failingDecodes;
                    throw std::runtime_error { "not a lycheespool error" };
                }
                OperatorState state;
                OperatorConfig config;
                config.version = std::stoull(values.at("config"));
                state.config = std::make_shared<const OperatorConfig>(std::move(config));
                return state;
            } },
        [] {} };
    asio::io_context context;

    void write(const std::string& version, const std::string& partition = {})
    {
        RowTransaction transaction;
        transaction.writes.push_back({ { "op", partition, "config" }, version });
        (void)await(store.commit(std::move(transaction), 0ms));
    }

    void runFor(Duration time)
    {
        context.restart();
        context.run_for(time);
    }

    [[nodiscard]] std::uint64_t version() const
    {
        const auto& config = watcher.state().config;
        return config ? config->version : 0;
    }
};

constexpr Duration longEnough = 3 * OperatorWatcher<FaultyFeedStore>::retryDelay;

}

// Guards against a process that keeps its config for good after an exception that its watcher does not expect.
TEST_CASE("an exception of any type delays the config and does not end its watcher")
{
    Fixture f;
    f.write("1");
    f.failingDecodes = 1;
    asio::co_spawn(f.context, f.watcher.run(), asio::detached);
    f.runFor(longEnough);
    CHECK(f.version() == 1);
    f.failingDecodes = 1;
    f.write("2");
    f.runFor(longEnough);
    CHECK(f.version() == 2);
}

// Guards against a config that stays outdated while the store serves lists and refuses the feed.
TEST_CASE("a change is read from a list while the feed fails")
{
    Fixture f;
    f.write("1");
    asio::co_spawn(f.context, f.watcher.run(), asio::detached);
    f.runFor(longEnough);
    f.store.failsFeed = true;
    f.write("2");
    f.runFor(longEnough);
    CHECK(f.version() == 2);
}

// Guards against an age that is smaller than the truth by the whole wait.
TEST_CASE("an answer before the end of the wait confirms the state only up to its request")
{
    Fixture f;
    f.write("1");
    asio::co_spawn(
        f.context,
        [&]() -> Awaitable<> {
            co_await f.watcher.step();
            co_await f.watcher.step();
        },
        asio::detached);
    // The feed of the fake store answers after 5 ms.
    f.runFor(100ms);
    CHECK(f.watcher.age(BootClock {}.now()) > 0ms);
}

// Guards against a row of another partition that replaces the operators' one.
TEST_CASE("rows of other partitions are no rows of the operators")
{
    Fixture f;
    f.write("1");
    asio::co_spawn(f.context, f.watcher.run(), asio::detached);
    f.runFor(longEnough);
    f.write("7", "other");
    f.runFor(longEnough);
    CHECK(f.version() == 1);
}
