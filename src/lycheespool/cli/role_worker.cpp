#include "lycheespool/cli/process_runner.h"
#include "lycheespool/cli/roles.h"
#include "lycheespool/cli/settings_parser.h"
#include "lycheespool/cli/worker_capacity.h"
#include "lycheespool/emulator/worker_service.h"

namespace lycheespool {

namespace {

constexpr Duration workerDrainTimeout = std::chrono::seconds { 10 };

}

ExitCode runWorker(const Args& args)
{
    StopSignals signals;
    SettingsParser parser { "worker", "Emulates a worker that runs tasks." };
    parser.addText("http", "address to serve", "127.0.0.1:8100");
    addCapacitySettings(parser);
    parser.parse(args);
    IoPool pool { 1 };
    Metrics metrics;
    WorkerService service { pool, parseAddress(parser.required("http")), readCapacity(parser), metrics };
    service.start();
    return runUntilSignal(signals, pool, [&] { return service.drain(workerDrainTimeout); });
}

}
