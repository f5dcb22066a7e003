#include "lycheespool/cli/load_generator.h"
#include "lycheespool/cli/test_system.h"
#include "lycheespool/core/error.h"

#include <doctest/doctest.h>

#include <future>
#include <thread>

using namespace lycheespool;
using namespace lycheespool::test;

namespace {

const std::string idempotentTarget = "/v1/workspaces/w/requests?idempotent=true";

}

// Guards against the crash of one entry affecting clients of another entry.
TEST_CASE("a request after an entry was killed is served by another entry")
{
    TestSystem system { 3, 2 };
    CHECK(system.send(system.entryAddress(0), "POST", idempotentTarget, "one").body == "one");
    system.entry(0).signal(SIGKILL);
    CHECK(system.entry(0).wait() == -SIGKILL);
    CHECK(system.send(system.entryAddress(1), "POST", idempotentTarget, "two").body == "two");
    CHECK(system.send(system.entryAddress(2), "POST", idempotentTarget, "three").body == "three");
}

// Guards against responses delivered to the wrong client when many requests are in flight.
TEST_CASE("each of many concurrent requests gets the response to its own body")
{
    TestSystem system { 1, 3 };
    LoadSettings settings;
    settings.target = system.entryAddress(0);
    settings.path = idempotentTarget;
    settings.connections = 16;
    settings.duration = std::chrono::milliseconds { 500 };
    const auto report = runLoadGenerator(settings);
    CHECK(report.done > 0);
    CHECK(report.mismatched == 0);
    CHECK(report.failed == 0);
}

// Guards against a planned stop that aborts a request in flight, for each process on the request path.
TEST_CASE("a process that receives SIGTERM finishes the request in flight and exits with 0")
{
    TestSystem system { 2, 1, "1500000" };
    auto answer = std::async(
        std::launch::async, [&] { return system.send(system.entryAddress(0), "POST", idempotentTarget, "slow"); });
    TestSystem::waitFor("request runs", [&] { return system.executions().first == 1; });
    ChildProcess* process = nullptr;
    SUBCASE("entry") { process = &system.entry(0); }
    SUBCASE("agent") { process = &system.agent(0); }
    SUBCASE("executor") { process = &system.executor(0); }
    process->signal(SIGTERM);
    const auto response = answer.get();
    CHECK(response.status == 200);
    CHECK(response.body == "slow");
    CHECK(process->wait() == 0);
}

// Guards against sending work to an agent that has announced its departure.
TEST_CASE("a departing executor gets no new request")
{
    TestSystem system { 1, 2 };
    system.agent(0).signal(SIGTERM);
    CHECK(system.agent(0).wait() == 0);
    for (int i = 0; i < 20; ++i)
        CHECK(system.send(system.entryAddress(0), "POST", idempotentTarget, "x").status == 200);
    CHECK(nlohmann::json::parse(system.send(system.executorAddress(0), "GET", "/v1/executions").body)["total"] == 0);
}

// Guards against invalid input that is accepted, or refused without a remedy.
TEST_CASE("invalid requests are refused with a remedy")
{
    TestSystem system { 1, 1 };
    const auto entry = system.entryAddress(0);
    const auto refused = [&](const std::string& target, const std::string& body, unsigned status) {
        const auto response = system.send(entry, "POST", target, body);
        CHECK(response.status == status);
        CHECK(response.contentType == "application/problem+json");
        CHECK_FALSE(nlohmann::json::parse(response.body)["remedy"].get<std::string>().empty());
    };
    refused("/v1/workspaces/w/requests", "no key", 400);
    refused("/v1/workspaces/w/requests?idempotent=maybe", "", 400);
    refused("/v1/workspaces/w/requests?idempotent=true&timeout_ms=0", "", 400);
    refused("/v1/workspaces/w/requests?idempotent=true&timeout_ms=99999999999999999999", "", 400);
    refused("/v1/workspaces/w/requests?idempotent=true&priority=royal", "", 400);
    refused("/v1/workspaces/%00/requests?idempotent=true", "", 400);
    refused(idempotentTarget, std::string(600 * 1024, 'x'), 400);
    refused("/v1/nothing", "", 404);
    CHECK(system.executions().first == 0);
}

// Guards against malformed input on the RPC port that crashes the entry or stops it from serving.
TEST_CASE("malformed frames are refused and the entry keeps serving")
{
    TestSystem system { 1, 1 };
    asio::io_context context;
    asio::ip::tcp::socket socket { context };
    socket.connect({ asio::ip::make_address(system.entryAddress(0).host), 8081 });
    asio::write(socket, asio::buffer(std::string(64, '\xff')));
    char byte = 0;
    boost::system::error_code ec;
    asio::read(socket, asio::buffer(&byte, 1), ec);
    CHECK(ec);
    CHECK(system.send(system.entryAddress(0), "POST", idempotentTarget, "still here").status == 200);
}

// Guards against requests waiting for a frozen agent that neither replies nor closes its connection.
TEST_CASE("an agent that is frozen gets no new request after its silence limit")
{
    TestSystem system { 1, 2 };
    system.agent(0).signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::seconds { 2 });
    for (int i = 0; i < 20; ++i)
        CHECK(system.send(system.entryAddress(0), "POST", idempotentTarget, "x").status == 200);
    CHECK(nlohmann::json::parse(system.send(system.executorAddress(0), "GET", "/v1/executions").body)["total"] == 0);
    system.agent(0).signal(SIGCONT);
}

// Guards against a role that serves before its signal handlers are installed: SIGTERM right after its first response
// killed it.
TEST_CASE("a role that receives SIGTERM as soon as it serves exits with 0")
{
    constexpr int rounds = 20;
    TestSystem system { 1, 1 };
    for (int i = 0; i < rounds; ++i) {
        const Address address { system.executorAddress(0).host, static_cast<std::uint16_t>(8200 + i) };
        ChildProcess worker { { "worker", "--http", address.toString() } };
        while (!system.serves(address, "/v1/tasks")) { }
        worker.signal(SIGTERM);
        CHECK(worker.wait() == 0);
    }
}

// Guards against an idle role that does not exit, or exits with an error, on SIGTERM.
TEST_CASE("every role exits with 0 on SIGTERM")
{
    TestSystem system { 1, 1 };
    system.startWorker(0);
    for (auto* process : { &system.workerAgent(0), &system.worker(0), &system.agent(0), &system.executor(0),
             &system.entry(0), &system.table() }) {
        process->signal(SIGTERM);
        CHECK(process->wait() == 0);
    }
}
