#include "lycheespool/cli/incarnation.h"
#include "lycheespool/cli/process_runner.h"
#include "lycheespool/cli/roles.h"
#include "lycheespool/cli/settings_parser.h"
#include "lycheespool/entry/entry_process.h"

namespace lycheespool {

ExitCode runEntry(const Args& args)
{
    StopSignals signals;
    SettingsParser parser { "entry", "Serves clients and operators over HTTP and agents over RPC." };
    parser.addText("id", "name of this entry, unique in the system", "");
    parser.addText("zone", "availability zone of this VM", "");
    parser.addText("domain", "scheduling domain that this entry may lead", "default");
    parser.addText("http", "address for clients and operators", "127.0.0.1:8080");
    parser.addText("rpc", "address for agents", "127.0.0.1:8081");
    parser.addText("table", "address of the table service", "127.0.0.1:8090");
    parser.addNumber("threads", "threads", 4, 1, 64);
    parser.addNumber(
        "drain-timeout-ms", "drain timeout for requests in flight at a planned stop, ms", 30000, 0, 600000);
    parser.parse(args);

    EntrySettings settings;
    settings.id = EntryId { parser.required("id") };
    settings.incarnation = generateIncarnation();
    settings.zone = ZoneId { parser.required("zone") };
    settings.domain = parser.required("domain");
    settings.http = parseAddress(parser.required("http"));
    settings.rpc = parseAddress(parser.required("rpc"));
    settings.table = parseAddress(parser.required("table"));
    settings.drainTimeout = std::chrono::milliseconds { parser.number("drain-timeout-ms") };
    IoPool pool { parser.number("threads") };
    Metrics metrics;
    EntryProcess entry { pool, std::move(settings), metrics };
    entry.start();
    return runUntilSignal(signals, pool, [&] { return entry.drain(); });
}

}
