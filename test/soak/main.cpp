#include "soak/clients.h"
#include "soak/config_operator.h"
#include "soak/fault_injector.h"
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

constexpr Duration warmUpTime = 4s;
constexpr Duration superviseInterval = 100ms;
// After the last fault, lost leases expire, a leader is elected, and unfinished work is run again.
constexpr Duration recoveryTime = 30s;
constexpr Duration pollInterval = 500ms;

/*! @brief Result of one run. */
struct SoakResult {
    std::vector<std::string> violations;
    std::string summary;
};

Awaitable<> supervise(Deployment& deployment, InvariantChecker& checker)
{
    while (true) {
        co_await sleepFor(superviseInterval);
        try {
            deployment.restartIfExited();
        } catch (const std::exception& error) {
            // The program cannot be started while a build replaces it; without this violation, the run would only
            // report jobs that never end.
            checker.fail(fmt::format("a process could not be restarted: {}", error.what()));
        }
    }
}

Awaitable<> runScenario(Deployment& deployment, Clients& clients, ConfigOperator& configOperator,
    FaultInjector& faultInjector, InvariantChecker& checker, Duration length)
{
    co_await deployment.start();
    const auto executor = co_await asio::this_coro::executor;
    asio::co_spawn(executor, supervise(deployment, checker), asio::detached);
    asio::co_spawn(executor, clients.run(), asio::detached);
    asio::co_spawn(executor, configOperator.run(), asio::detached);
    co_await sleepFor(warmUpTime);
    co_await faultInjector.run(length);
    clients.stop();
    deployment.clearFaults();
    const auto until = BootClock {}.now() + recoveryTime;
    while (BootClock {}.now() < until && !checker.unfinished().empty()) {
        co_await sleepFor(pollInterval);
        // Faults that were injected late can still change states after the first clearFaults().
        deployment.clearFaults();
    }
    for (const auto& it : checker.unfinished()) {
        co_await clients.pollState(it);
        if (checker.stateOf(it).empty())
            checker.fail(fmt::format("job {} was accepted but has not ended", it));
    }
}

/*! @brief Ends the child processes when this program receives SIGINT or SIGTERM, since they would outlive it. */
Awaitable<> stopOnSignal(Deployment& deployment)
{
    asio::signal_set signals { co_await asio::this_coro::executor, SIGINT, SIGTERM };
    const int number = co_await signals.async_wait(asio::use_awaitable);
    deployment.stop();
    // The exit status that a shell reports for a program ended by a signal.
    std::_Exit(128 + number);
}

SoakResult runOnce(const DeploymentSettings& settings, Duration length)
{
    InvariantChecker checker;
    // The pool stops before the objects that its coroutines use are destroyed.
    IoPool pool { 1 };
    Deployment deployment { pool, settings, checker };
    Clients clients { pool, deployment, checker, settings.seed };
    ConfigOperator configOperator { pool, deployment, checker, settings.seed };
    FaultInjector faultInjector { pool, deployment, checker, settings.seed };
    asio::co_spawn(pool.context(), stopOnSignal(deployment), asio::detached);
    asio::co_spawn(pool.context(), runScenario(deployment, clients, configOperator, faultInjector, checker, length),
        asio::use_future)
        .get();
    pool.stop();
    deployment.stop();
    std::ofstream journal { settings.directory / "faults.log" };
    for (const auto& it : faultInjector.journal())
        journal << it << '\n';
    const auto [served, calls] = clients.served();
    return { checker.violations(),
        fmt::format(
            "{} jobs accepted, {} completed, {} starts, {} of {} calls served, {} configs, {} config probes, {} faults",
            checker.accepted(), checker.completed(), checker.starts(), served, calls, configOperator.versions(),
            configOperator.probes(), faultInjector.journal().size()) };
}

}

int main(int argc, char** argv)
{
    TCLAP::CmdLine line { "Runs the real programs against an emulated store and executors, and injects faults." };
    TCLAP::ValueArg<std::uint64_t> seed { "", "seed", "seed of the first run", false, 1, "number", line };
    TCLAP::ValueArg<int> runs { "", "runs", "runs, each with the next seed", false, 1, "number", line };
    TCLAP::ValueArg<int> seconds { "", "seconds", "length of the part of a run with faults, s", false, 15, "number",
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
        // Soak runs of one seed may be concurrent, and each removes its directory at its end.
        settings.directory
            = std::filesystem::path { logs.getValue() } / fmt::format("seed-{}-{}", settings.seed, ::getpid());
        std::filesystem::remove_all(settings.directory);
        std::filesystem::create_directories(settings.directory);
        const auto result = runOnce(settings, std::chrono::seconds { seconds.getValue() });
        std::cout << fmt::format("seed {}: {}\n", settings.seed, result.summary);
        for (const auto& it : result.violations)
            std::cout << "  violation: " << it << '\n';
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
