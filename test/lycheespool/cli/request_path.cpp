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

// Guards against an entry whose death is seen by the client of another entry.
TEST_CASE("a request after an entry was killed is served by another entry")
{
    TestSystem system { 3, 2 };
    CHECK(system.send(system.entryAddress(0), "POST", idempotentTarget, "one").body == "one");
    system.entry(0).signal(SIGKILL);
    CHECK(system.entry(0).wait() == -SIGKILL);
    CHECK(system.send(system.entryAddress(1), "POST", idempotentTarget, "two").body == "two");
    CHECK(system.send(system.entryAddress(2), "POST", idempotentTarget, "three").body == "three");
}

// Guards against answers that reach another client than the one that asked, when many are under way at once.
TEST_CASE("each of many concurrent requests gets the answer to its own body")
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

// Guards against a planned stop that cuts a request in flight, for each process on the request's way.
TEST_CASE("a process that is told to stop finishes the request in flight and exits with 0")
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

// Guards against work that is sent to an agent which has announced its departure.
TEST_CASE("a leaving executor gets no new request")
{
    TestSystem system { 1, 2 };
    system.agent(0).signal(SIGTERM);
    CHECK(system.agent(0).wait() == 0);
    for (int i = 0; i < 20; ++i)
        CHECK(system.send(system.entryAddress(0), "POST", idempotentTarget, "x").status == 200);
    CHECK(nlohmann::json::parse(system.send(system.executorAddress(0), "GET", "/v1/executions").body)["total"] == 0);
}

// Guards against bad input that is accepted, or refused without saying what to do.
TEST_CASE("bad requests are refused with a remedy")
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

// Guards against bytes on the agents' port that end the entry or stop it from serving.
TEST_CASE("malformed frames are refused and the entry goes on")
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

// Guards against requests that wait for an agent which is frozen and neither answers nor closes its connection.
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

// Guards against a role that serves before it catches signals: a stop right after its first answer killed it.
TEST_CASE("a role that is told to stop as soon as it serves exits with 0")
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

// Guards against a role that does not end, or ends with an error, when it is told to stop while idle.
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
