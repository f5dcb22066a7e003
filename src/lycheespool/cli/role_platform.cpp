#include "lycheespool/cli/process_runner.h"
#include "lycheespool/cli/roles.h"
#include "lycheespool/cli/settings_parser.h"
#include "lycheespool/emulator/executor_service.h"
#include "lycheespool/emulator/table_service.h"

namespace lycheespool {

namespace {

constexpr Duration emulatorDrainTimeout = std::chrono::seconds { 10 };

}

ExitCode runTable(const Args& args)
{
    StopSignals signals;
    SettingsParser parser { "table", "Emulates the platform's table service and object store." };
    parser.addText("http", "address to serve", "127.0.0.1:8090");
    parser.addNumber("threads", "threads", 2, 1, 64);
    parser.parse(args);
    IoPool pool { parser.number("threads") };
    Metrics metrics;
    TableService service { pool, parseAddress(parser.required("http")), metrics };
    service.start();
    return runUntilSignal(signals, pool, [&] { return service.drain(emulatorDrainTimeout); });
}

ExitCode runExecutor(const Args& args)
{
    StopSignals signals;
    SettingsParser parser { "executor", "Emulates an executor with slots." };
    parser.addText("http", "address to serve", "127.0.0.1:8100");
    parser.addNumber("slots", "requests that run concurrently", 8, 1, 1024);
    parser.addNumber("connections", "maximum number of connections", 60, 1, 65536);
    parser.addNumber("service-time-us", "time that each request takes, us", 1000, 0, 600000000);
    parser.addNumber("threads", "threads", 1, 1, 64);
    parser.parse(args);
    ExecutorServiceSettings settings;
    settings.address = parseAddress(parser.required("http"));
    settings.slots = static_cast<std::uint32_t>(parser.number("slots"));
    settings.connections = static_cast<std::uint32_t>(parser.number("connections"));
    settings.serviceTime = std::chrono::microseconds { parser.number("service-time-us") };
    IoPool pool { parser.number("threads") };
    Metrics metrics;
    ExecutorService service { pool, std::move(settings), metrics };
    service.start();
    return runUntilSignal(signals, pool, [&] { return service.drain(emulatorDrainTimeout); });
}

}
