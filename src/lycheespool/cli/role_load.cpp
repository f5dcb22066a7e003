#include "lycheespool/cli/load_generator.h"
#include "lycheespool/cli/roles.h"
#include "lycheespool/cli/settings_parser.h"

#include <fmt/format.h>

namespace lycheespool {

ExitCode runLoad(const Args& args)
{
    SettingsParser parser { "load", "Sends requests and reports rates and latencies." };
    parser.addText("target", "HTTP address of an entry or of an executor", "127.0.0.1:8080");
    parser.addText("path", "request target", "/v1/workspaces/default/requests?idempotent=true");
    parser.addNumber("connections", "connections, one request at a time on each", 32, 1, 4096);
    parser.addNumber("rate", "requests per second, 0 for as many as possible", 0, 0, 1000000);
    parser.addNumber("duration-ms", "length of the run, ms", 5000, 100, 600000);
    parser.addNumber("body-bytes", "size of each request body, bytes", 64, 0, 524288);
    parser.addNumber("threads", "threads", 2, 1, 64);
    parser.addNumber("keys", "1 to send an Idempotency-Key with each request", 0, 0, 1);
    parser.parse(args);
    LoadSettings settings;
    settings.target = parseAddress(parser.required("target"));
    settings.path = parser.required("path");
    settings.connections = parser.number("connections");
    settings.rate = parser.number("rate");
    settings.duration = std::chrono::milliseconds { parser.number("duration-ms") };
    settings.bodyBytes = parser.number("body-bytes");
    settings.threads = parser.number("threads");
    settings.sendKeys = parser.number("keys") == 1;
    const auto report = runLoadGenerator(settings);
    fmt::print("sent={} done={} not_run={} unknown={} failed={} mismatched={} rate={:.0f}/s p50={:.0f}us p99={:.0f}us "
               "p99.9={:.0f}us max={:.0f}us\n",
        report.sent, report.done, report.notRun, report.unknown, report.failed, report.mismatched, report.rate,
        report.p50Us, report.p99Us, report.p999Us, report.maxUs);
    return report.mismatched == 0 ? ExitCode::success : ExitCode::failure;
}

}
