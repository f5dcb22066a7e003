#include "lycheespool/agent/agent_process.h"
#include "lycheespool/agent/executor_endpoint.h"
#include "lycheespool/agent/worker_endpoint.h"
#include "lycheespool/cli/incarnation.h"
#include "lycheespool/cli/process_runner.h"
#include "lycheespool/cli/roles.h"
#include "lycheespool/cli/settings_parser.h"
#include "lycheespool/cli/worker_capacity.h"
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
ExitCode runAgentProcess(StopSignals& signals, AgentProcess<EndpointType>& agent, IoPool& pool,
    const SettingsParser& parser, Metrics& metrics)
{
    addProcessGauges(metrics);
    agent.start();
    const auto drainTimeout = std::chrono::milliseconds { parser.number("drain-timeout-ms") };
    return runUntilSignal(signals, pool, [&] { return agent.drain(drainTimeout); });
}

void declare(SettingsParser& parser)
{
    parser.addText("id", "name of this agent, unique in the system", "");
    parser.addText("kind", "kind of the endpoint: executor or worker", "executor");
    parser.addText("zone", "availability zone of this VM", "");
    parser.addText("rack", "rack of this VM", "");
    parser.addText("endpoint", "HTTP address of the executor or worker", "127.0.0.1:8100");
    parser.addText("entries", "RPC addresses of some entries, separated by commas", "127.0.0.1:8081");
    parser.addText("http", "address for metrics and health", "127.0.0.1:8082");
    parser.addNumber("slots", "slots of the executor", 8, 1, 1024);
    addCapacitySettings(parser);
    parser.addNumber("drain-timeout-ms", "drain timeout for work in flight at a planned stop, ms", 30000, 0, 600000);
}

AgentSettings readAgentSettings(const SettingsParser& parser)
{
    AgentSettings settings;
    settings.incarnation = generateIncarnation();
    settings.entries = parseAddresses(parser.required("entries"));
    settings.http = parseAddress(parser.required("http"));
    return settings;
}

ExitCode runExecutorAgent(StopSignals& signals, const SettingsParser& parser)
{
    auto settings = readAgentSettings(parser);
    ExecutorEndpointSettings executor;
    executor.agent = AgentId { parser.required("id") };
    executor.incarnation = settings.incarnation;
    executor.zone = ZoneId { parser.required("zone") };
    executor.rack = RackId { parser.text("rack") };
    executor.slots = static_cast<std::uint32_t>(parser.number("slots"));
    executor.executor = parseAddress(parser.required("endpoint"));
    Metrics metrics;
    // The pool must outlive the endpoint, whose idle connections refer to its context.
    IoPool pool { 1 };
    ExecutorEndpoint endpoint { std::move(executor), metrics };
    AgentProcess<ExecutorEndpoint> agent { pool, std::move(settings), endpoint, metrics };
    return runAgentProcess(signals, agent, pool, parser, metrics);
}

ExitCode runWorkerAgent(StopSignals& signals, const SettingsParser& parser)
{
    auto settings = readAgentSettings(parser);
    WorkerSettings worker;
    worker.agent = AgentId { parser.required("id") };
    worker.incarnation = settings.incarnation;
    worker.zone = ZoneId { parser.required("zone") };
    worker.rack = RackId { parser.required("rack") };
    worker.capacity = readCapacity(parser);
    Metrics metrics;
    IoPool pool { 1 };
    WorkerEndpoint endpoint { pool.context().get_executor(), worker, parseAddress(parser.required("endpoint")),
        metrics };
    AgentProcess<WorkerEndpoint> agent { pool, std::move(settings), endpoint, metrics };
    endpoint.setFreshnessRequest([&agent]() -> Awaitable<> { (void)co_await agent.refresh(); });
    endpoint.start();
    const auto code = runAgentProcess(signals, agent, pool, parser, metrics);
    endpoint.stop();
    return code;
}

}

ExitCode runAgent(const Args& args)
{
    StopSignals signals;
    SettingsParser parser { "agent", "Connects an executor or a worker on the same VM to the entries." };
    declare(parser);
    parser.parse(args);
    const auto kind = parser.text("kind");
    if (kind == "executor")
        return runExecutorAgent(signals, parser);
    if (kind == "worker")
        return runWorkerAgent(signals, parser);
    throw Error { ErrorKind::invalidSetting, "setting --kind: '" + kind + "' is unknown", "use executor or worker" };
}

}
