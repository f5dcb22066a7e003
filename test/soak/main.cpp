#include "soak/chaos.h"
#include "soak/clients.h"
#include "soak/soak_bounds.h"

#include "lycheespool/core/boot_clock.h"
#include "lycheespool/net/sleep.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace {

using namespace lycheespool;
using namespace lycheespool::soak;

constexpr Duration calmStart = 4s;
constexpr Duration superviseInterval = 100ms;
// After the last fault: lost leases run out, a leader is found, and the work that is left is done again.
constexpr Duration settleTime = 30s;
constexpr Duration lookInterval = 500ms;

/*! @brief Result of one run. */
struct SoakResult {
    std::vector<std::string> violations;
    std::string summary;
};

Awaitable<> supervise(Deployment& deployment, Referee& referee)
{
    while (true) {
        co_await sleepFor(superviseInterval);
        try {
            deployment.keepRunning();
        } catch (const std::exception& error) {
            // The program cannot be started while a build replaces it; without this line the run would only show jobs
            // that never end.
            referee.fail(fmt::format("a process could not be started again: {}", error.what()));
        }
    }
}

Awaitable<> play(Deployment& deployment, Clients& clients, Chaos& chaos, Referee& referee, Duration length)
{
    co_await deployment.start();
    const auto executor = co_await asio::this_coro::executor;
    asio::co_spawn(executor, supervise(deployment, referee), asio::detached);
    asio::co_spawn(executor, clients.run(), asio::detached);
    co_await sleepFor(calmStart);
    co_await chaos.run(length);
    clients.stop();
    deployment.heal();
    const auto until = BootClock {}.now() + settleTime;
    while (BootClock {}.now() < until && !referee.unfinished().empty()) {
        co_await sleepFor(lookInterval);
        // Disturbances that started late end after the first healing.
        deployment.heal();
    }
    for (const auto& it : referee.unfinished()) {
        co_await clients.look(it);
        if (referee.stateOf(it).empty())
            referee.fail(fmt::format("job {} was accepted and has not ended", it));
    }
}

/*! @brief Ends the processes of the system when this program is told to end, since they would outlive it. */
Awaitable<> stopOnSignal(Deployment& deployment)
{
    asio::signal_set signals { co_await asio::this_coro::executor, SIGINT, SIGTERM };
    const int number = co_await signals.async_wait(asio::use_awaitable);
    deployment.stop();
    // As a shell reports a program that a signal ended.
    std::_Exit(128 + number);
}

SoakResult runOnce(const DeploymentSettings& settings, Duration length)
{
    Referee referee;
    // The pool stops before the objects that its coroutines use are destroyed.
    IoPool pool { 1 };
    Deployment deployment { pool, settings, referee };
    Clients clients { pool, deployment, referee, settings.seed };
    Chaos chaos { pool, deployment, referee, settings.seed };
    asio::co_spawn(pool.context(), stopOnSignal(deployment), asio::detached);
    asio::co_spawn(pool.context(), play(deployment, clients, chaos, referee, length), asio::use_future).get();
    pool.stop();
    deployment.stop();
    std::ofstream journal { settings.directory / "faults.log" };
    for (const auto& it : chaos.journal())
        journal << it << '\n';
    const auto [served, calls] = clients.served();
    return { referee.violations(),
        fmt::format("{} jobs accepted, {} completed, {} starts, {} of {} calls served, {} faults", referee.accepted(),
            referee.completed(), referee.starts(), served, calls, chaos.journal().size()) };
}

}

int main(int argc, char** argv)
{
    TCLAP::CmdLine line { "Runs the real programs against stand-ins and disturbs them." };
    TCLAP::ValueArg<std::uint64_t> seed { "", "seed", "seed of the first run", false, 1, "number", line };
    TCLAP::ValueArg<int> runs { "", "runs", "runs, each with the next seed", false, 1, "number", line };
    TCLAP::ValueArg<int> seconds { "", "seconds", "length of the disturbed part of a run, s", false, 15, "number",
        line };
    TCLAP::ValueArg<std::size_t> gateways { "", "gateways", "number of gateways", false, 3, "number", line };
    TCLAP::ValueArg<std::size_t> executors { "", "executors", "number of executors", false, 6, "number", line };
    TCLAP::ValueArg<std::string> logs { "", "logs", "directory for logs", false,
        (std::filesystem::temp_directory_path() / "lycheespool-soak").string(), "path", line };
    line.parse(argc, argv);
    int failed = 0;
    for (int i = 0; i < runs.getValue(); ++i) {
        DeploymentSettings settings;
        settings.seed = seed.getValue() + static_cast<std::uint64_t>(i);
        settings.gateways = gateways.getValue();
        settings.executors = executors.getValue();
        // Soaks of one seed may run at the same time, and each removes its directory at its end.
        settings.directory
            = std::filesystem::path { logs.getValue() } / fmt::format("seed-{}-{}", settings.seed, ::getpid());
        std::filesystem::remove_all(settings.directory);
        std::filesystem::create_directories(settings.directory);
        const auto result = runOnce(settings, std::chrono::seconds { seconds.getValue() });
        std::cout << fmt::format("seed {}: {}\n", settings.seed, result.summary);
        for (const auto& it : result.violations)
            std::cout << "  broken: " << it << '\n';
        if (result.violations.empty()) {
            std::filesystem::remove_all(settings.directory);
        } else {
            ++failed;
            std::cout << "  logs: " << settings.directory.string() << '\n';
        }
        std::cout.flush();
    }
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
