#include "lycheespool/cli/test_system.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <set>
#include <thread>

using namespace lycheespool;
using namespace lycheespool::test;

namespace {

const std::string limitsText = "[limits]\nadministrators = [\"ada\", \"nils\"]\n";

std::string zonesText(bool inService)
{
    const std::string state = inService ? "in_service = true\n" : "in_service = false\nreason = \"maintenance\"\n";
    return "[zones]\noperators = [\"ada\"]\n[zones.zone-a]\n" + state + "[zones.zone-b]\nin_service = true\n";
}

HttpResponse edit(TestSystem& system, std::size_t entry, const std::string& section, const std::string& text,
    std::uint64_t base, const std::string& author = "ada")
{
    static std::atomic<int> number { 0 };
    const auto token = "token-" + std::to_string(number.fetch_add(1));
    return system.send(system.entryAddress(entry), "PUT", "/v1/document/sections/" + section, text,
        { { "If-Match", std::to_string(base) }, { "From", author }, { "Idempotency-Key", token } });
}

std::uint64_t accepted(const HttpResponse& response)
{
    INFO(response.body);
    REQUIRE(response.status == 200);
    return nlohmann::json::parse(response.body)["revision"].get<std::uint64_t>();
}

std::uint64_t revisionAt(TestSystem& system, std::size_t entry)
{
    return system.status(entry)["document"]["revision"].get<std::uint64_t>();
}

std::string stateOf(TestSystem& system, std::size_t entry, const std::string& job)
{
    return nlohmann::json::parse(system.send(system.entryAddress(entry), "GET", "/v1/jobs/" + job).body)["state"];
}

}

// Guards against a task start in a zone out of service, and against a zone that stays unused once back in service.
TEST_CASE("no task starts in a zone that is out of service, and work resumes once it is back")
{
    TestSystem system { 2, 1 };
    system.startWorker(0);
    TestSystem::waitFor("a leader", [&] { return system.leaderOf(2).has_value(); });
    accepted(edit(system, 0, "limits", limitsText, 0));
    const auto out = accepted(edit(system, 0, "zones", zonesText(false), 0));
    TestSystem::waitFor("both entries have the new revision",
        [&] { return revisionAt(system, 0) == out && revisionAt(system, 1) == out; });
    const std::string body = R"({"tasks": 1, "cores": 1, "memoryMiB": 1, "accelerators": 1, "runTimeSeconds": 1})";
    CHECK(system.send(system.entryAddress(1), "POST", "/v1/workspaces/w/jobs", body, { { "Idempotency-Key", "job" } })
              .status
        == 202);
    std::this_thread::sleep_for(std::chrono::seconds { 3 });
    CHECK(stateOf(system, 0, "job") == "queued");
    CHECK(system.startedTasks() == 0);
    accepted(edit(system, 1, "zones", zonesText(true), out));
    TestSystem::waitFor("the job is done", [&] { return stateOf(system, 0, "job") == "done"; });
}

// Guards against lost updates: one operator's change silently overwriting another operator's.
TEST_CASE("of two concurrent edits of one section, exactly one is accepted")
{
    TestSystem system { 2, 1 };
    accepted(edit(system, 0, "limits", limitsText, 0));
    const auto base = accepted(edit(system, 0, "zones", zonesText(true), 0));
    auto first
        = std::async(std::launch::async, [&] { return edit(system, 0, "zones", zonesText(false), base, "ada"); });
    const auto second = edit(system, 1, "zones", zonesText(true) + "# a note\n", base, "nils");
    const std::set<unsigned> statuses { first.get().status, second.status };
    CHECK(statuses == std::set<unsigned> { 200, 409 });
}

// Guards against the loss of an accepted change when all processes of the system are replaced.
TEST_CASE("the document survives the replacement of every process")
{
    TestSystem system { 2, 1 };
    accepted(edit(system, 0, "limits", limitsText, 0));
    const auto out = accepted(edit(system, 0, "zones", zonesText(false), 0));
    TestSystem::waitFor("in effect", [&] { return revisionAt(system, 1) == out; });
    const auto before = system.status(1)["document"]["zones"];
    for (std::size_t i = 0; i < 2; ++i) {
        system.entry(i).signal(SIGKILL);
        (void)system.entry(i).wait();
        system.startEntry(i);
    }
    TestSystem::waitFor(
        "in effect again", [&] { return revisionAt(system, 0) == out && revisionAt(system, 1) == out; });
    CHECK(system.status(0)["document"]["zones"] == before);
    CHECK(system.status(1)["document"]["zones"] == before);
    const auto trail
        = nlohmann::json::parse(system.send(system.entryAddress(1), "GET", "/v1/document/audit?subject=zones").body);
    REQUIRE(trail.size() == 1);
    CHECK(trail[0]["who"] == "ada");
    CHECK(trail[0]["process"] == "entry-1");
    CHECK(trail[0]["revision"] == out);
    const auto history
        = nlohmann::json::parse(system.send(system.entryAddress(0), "GET", "/v1/document/history?section=zones").body);
    REQUIRE(history.size() == 1);
    CHECK(history[0]["text"] == zonesText(false));
}

// Guards against an edit that is reported as failed although it took effect, or as accepted although it did not.
TEST_CASE("edits during table faults report their actual outcome")
{
    TestSystem system { 1, 1 };
    const auto base = accepted(edit(system, 0, "limits", limitsText, 0));
    system.setTableFaults(R"({"loseAnswers": 3})");
    const auto next = accepted(edit(system, 0, "zones", zonesText(true), 0));
    CHECK(next > base);
    system.setTableFaults(R"({"down": true})");
    CHECK(edit(system, 0, "zones", zonesText(false), next).status == 503);
    system.setTableFaults(R"({"down": false})");
    TestSystem::waitFor("the table is back", [&] {
        const auto response = system.send(system.entryAddress(0), "GET", "/v1/document/sections/zones");
        return response.status == 200 && nlohmann::json::parse(response.body)["revision"] == next;
    });
}

// Guards against stopping all work while the table is down, and against running a request without a claim.
TEST_CASE("while the table is down, idempotent requests succeed and others are refused as not run")
{
    TestSystem system { 1, 2 };
    system.setTableFaults(R"({"down": true})");
    const auto entry = system.entryAddress(0);
    CHECK(system.send(entry, "POST", "/v1/workspaces/w/requests?idempotent=true", "x").status == 200);
    const auto before = system.executions().first;
    const auto response
        = system.send(entry, "POST", "/v1/workspaces/w/requests", "y", { { "Idempotency-Key", "once" } });
    CHECK(response.status == 503);
    CHECK(response.field("Lycheespool-Outcome") == "not-run");
    CHECK_FALSE(response.field("Retry-After").empty());
    CHECK(system.executions().first == before);
    system.setTableFaults(R"({"down": false})");
    TestSystem::waitFor("the request runs", [&] {
        return system.send(entry, "POST", "/v1/workspaces/w/requests", "y", { { "Idempotency-Key", "once" } }).status
            == 200;
    });
    CHECK(system.executions() == std::pair<std::uint64_t, std::uint64_t> { before + 1, 0 });
}

// Guards against running a request twice when the client repeats it through another entry.
TEST_CASE("a repeated idempotency key gets the stored response from any entry")
{
    TestSystem system { 2, 2 };
    const std::vector<HttpField> key { { "Idempotency-Key", "twice" } };
    for (std::size_t i = 0; i < 4; ++i) {
        const auto response = system.send(system.entryAddress(i % 2), "POST", "/v1/workspaces/w/requests", "body", key);
        CHECK(response.status == 200);
        CHECK(response.body == "body");
    }
    CHECK(system.executions() == std::pair<std::uint64_t, std::uint64_t> { 1, 0 });
    CHECK(system.send(system.entryAddress(0), "POST", "/v1/workspaces/w/requests", "other", key).status == 422);
}
