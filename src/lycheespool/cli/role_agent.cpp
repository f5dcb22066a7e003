#include "lycheespool/agent/agent_process.h"
#include "lycheespool/agent/executor_endpoint.h"
#include "lycheespool/cli/incarnation.h"
#include "lycheespool/cli/process_runner.h"
#include "lycheespool/cli/roles.h"
#include "lycheespool/cli/settings_parser.h"
#include "lycheespool/core/error.h"

#include <sstream>

namespace lycheespool {

namespace {

std::vector<Address> parseAddresses(const std::string& list)
{
    std::vector<Address> addresses;
    std::istringstream stream { list };
    for (std::string it; std::getline(stream, it, ',');)
        addresses.push_back(parseAddress(it));
    return addresses;
}

template <Endpoint EndpointType>
ExitCode runBeside(
    EndpointType& endpoint, IoPool& pool, AgentSettings settings, Duration drainTimeout, Metrics& metrics)
{
    addProcessGauges(metrics);
    AgentProcess<EndpointType> agent { pool, std::move(settings), endpoint, metrics };
    agent.start();
    return runUntilSignal(pool, [&] { return agent.drain(drainTimeout); });
}

void declare(SettingsParser& parser)
{
    parser.addText("id", "name of this agent, unique in the system", "");
    parser.addText("kind", "what runs beside: executor", "executor");
    parser.addText("zone", "availability zone of this VM", "");
    parser.addText("rack", "rack of this VM", "");
    parser.addText("endpoint", "HTTP address of the executor", "127.0.0.1:8100");
    parser.addText("entries", "RPC addresses of some entries, separated by commas", "127.0.0.1:8081");
    parser.addText("http", "address for metrics and health", "127.0.0.1:8082");
    parser.addNumber("slots", "slots of the executor", 8, 1, 1024);
    parser.addNumber("drain-timeout-ms", "longest time for work in flight at a planned stop, ms", 30000, 0, 600000);
}

}

ExitCode runAgent(const Args& args)
{
    SettingsParser parser { "agent", "Runs beside an executor and connects it to the entries." };
    declare(parser);
    parser.parse(args);
    if (parser.text("kind") != "executor")
        throw Error { ErrorKind::invalidSetting, "setting --kind: '" + parser.text("kind") + "' is not known",
            "use executor" };

    AgentSettings settings;
    settings.incarnation = drawIncarnation();
    settings.entries = parseAddresses(parser.required("entries"));
    settings.http = parseAddress(parser.required("http"));
    ExecutorEndpointSettings endpointSettings;
    endpointSettings.agent = AgentId { parser.required("id") };
    endpointSettings.incarnation = settings.incarnation;
    endpointSettings.zone = ZoneId { parser.required("zone") };
    endpointSettings.rack = RackId { parser.text("rack") };
    endpointSettings.slots = static_cast<std::uint32_t>(parser.number("slots"));
    endpointSettings.executor = parseAddress(parser.required("endpoint"));
    const auto drainTimeout = std::chrono::milliseconds { parser.number("drain-timeout-ms") };
    Metrics metrics;
    ExecutorEndpoint endpoint { std::move(endpointSettings), metrics };
    IoPool pool { 1 };
    return runBeside(endpoint, pool, std::move(settings), drainTimeout, metrics);
}

}
