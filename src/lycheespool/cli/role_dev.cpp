#include "lycheespool/cli/dev_system.h"
#include "lycheespool/cli/process_runner.h"
#include "lycheespool/cli/roles.h"
#include "lycheespool/cli/settings_parser.h"

namespace lycheespool {

ExitCode runDev(const Args& args)
{
    StopSignals signals;
    SettingsParser parser { "dev", "Runs one entry, agents and emulators in one process on loopback." };
    parser.addText("http", "address for clients and operators", "127.0.0.1:8080");
    parser.addNumber("executors", "number of executors", 3, 1, 16);
    parser.addNumber("workers", "number of workers with 8 accelerators each", 4, 0, 16);
    parser.parse(args);
    IoPool pool { 4 };
    DevSystem system { pool, parseAddress(parser.required("http")), parser.number("executors"),
        parser.number("workers") };
    system.start();
    return runUntilSignal(signals, pool, [&] { return system.drain(); });
}

}
