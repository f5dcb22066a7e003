#include "lycheespool/cli/test_system.h"

#include <doctest/doctest.h>

#include <thread>

using namespace lycheespool;
using namespace lycheespool::test;

namespace {

const std::string jobsTarget = "/v1/workspaces/w/jobs";

nlohmann::json jobBody(std::uint32_t tasks, std::uint32_t runTimeSeconds)
{
    return { { "tasks", tasks }, { "cores", 4 }, { "memoryMiB", 1024 }, { "accelerators", 8 },
        { "runTimeSeconds", runTimeSeconds } };
}

std::string stateOf(TestSystem& system, std::size_t entry, const std::string& job)
{
    const auto response = system.send(system.entryAddress(entry), "GET", "/v1/jobs/" + job);
    return nlohmann::json::parse(response.body)["state"].get<std::string>();
}

}

// Guards against a partially started gang: with one worker too few, no task may start.
TEST_CASE("a gang starts on all of its workers or on none")
{
    TestSystem system { 3, 1 };
    for (std::size_t i = 0; i < 3; ++i)
        system.startWorker(i);
    const auto response = system.send(
        system.entryAddress(0), "POST", jobsTarget, jobBody(4, 1).dump(), { { "Idempotency-Key", "gang" } });
    CHECK(response.status == 202);
    TestSystem::waitFor("a leader knows three workers", [&] { return system.leaderOf(3).has_value(); });
    CHECK(stateOf(system, 1, "gang") == "queued");
    CHECK(system.runningTasks() == 0);
    system.startWorker(3);
    TestSystem::waitFor("the gang is done", [&] { return stateOf(system, 2, "gang") == "done"; });
    CHECK(system.startedTasks() == 4);
}

// Guards against submitting a job twice when a client repeats its call through another entry.
TEST_CASE("a repeated idempotency key submits a job once and is refused with another body")
{
    TestSystem system { 2, 1 };
    const std::vector<HttpField> key { { "Idempotency-Key", "once" } };
    CHECK(system.send(system.entryAddress(0), "POST", jobsTarget, jobBody(1, 1).dump(), key).status == 202);
    CHECK(system.send(system.entryAddress(1), "POST", jobsTarget, jobBody(1, 1).dump(), key).status == 202);
    CHECK(system.send(system.entryAddress(1), "POST", jobsTarget, jobBody(2, 1).dump(), key).status == 409);
}

// Guards against running gangs being stopped, restarted or duplicated when the leader is killed.
TEST_CASE("a running gang survives a crash of the leader")
{
    TestSystem system { 3, 1 };
    for (std::size_t i = 0; i < 2; ++i)
        system.startWorker(i);
    const auto target = system.entryAddress(0);
    CHECK(system.send(target, "POST", jobsTarget, jobBody(2, 20).dump(), { { "Idempotency-Key", "long" } }).status
        == 202);
    TestSystem::waitFor("the gang runs", [&] { return system.runningTasks() == 2; });
    const auto leader = system.leaderOf(3);
    REQUIRE(leader);
    const auto other = (*leader + 1) % 3;
    system.entry(*leader).signal(SIGKILL);
    TestSystem::waitFor("the gang is done", [&] { return stateOf(system, other, "long") == "done"; });
    const auto job = nlohmann::json::parse(system.send(system.entryAddress(other), "GET", "/v1/jobs/long").body);
    CHECK(job["attempt"] == 1);
    CHECK(system.startedTasks() == 2);
}

// Guards against accepting job descriptions that are invalid or can never run.
TEST_CASE("invalid jobs are refused with a remedy")
{
    TestSystem system { 1, 1 };
    const auto refused = [&](const std::string& body) {
        const auto response = system.send(system.entryAddress(0), "POST", jobsTarget, body);
        CHECK(response.status == 400);
        CHECK_FALSE(nlohmann::json::parse(response.body)["remedy"].get<std::string>().empty());
    };
    refused("");
    refused("[]");
    refused(jobBody(0, 1).dump());
    refused(jobBody(65, 1).dump());
    auto body = jobBody(1, 1);
    body["accelerators"] = -1;
    refused(body.dump());
    body["accelerators"] = "8";
    refused(body.dump());
    body = jobBody(1, 1);
    body["surprise"] = true;
    refused(body.dump());
}

// Guards against a leader that was paused past its lease and acts on stale state when it resumes.
TEST_CASE("a leader that was paused past its lease starts nothing when it resumes")
{
    TestSystem system { 3, 1 };
    system.startWorker(0);
    TestSystem::waitFor("a leader", [&] { return system.leaderOf(3).has_value(); });
    const auto old = system.leaderOf(3).value();
    const auto other = (old + 1) % 3;
    system.entry(old).signal(SIGSTOP);
    const auto target = system.entryAddress(other);
    CHECK(
        system.send(target, "POST", jobsTarget, jobBody(1, 1).dump(), { { "Idempotency-Key", "job" } }).status == 202);
    TestSystem::waitFor(
        "the job is done under another leader", [&] { return stateOf(system, other, "job") == "done"; });
    system.entry(old).signal(SIGCONT);
    TestSystem::waitFor(
        "the old leader reports that it no longer leads", [&] { return !system.status(old)["leader"].get<bool>(); });
    std::this_thread::sleep_for(std::chrono::seconds { 2 });
    CHECK_FALSE(system.status(old)["leader"].get<bool>());
    CHECK(system.startedTasks() == 1);
    CHECK(stateOf(system, other, "job") == "done");
}

// Guards against losing a zone's work when operators take the zone out of service: it must finish in another zone.
TEST_CASE("a running gang is checkpointed and moved when its zone is taken out of service")
{
    TestSystem system { 2, 1 };
    system.startWorker(0);
    TestSystem::waitFor("a leader", [&] { return system.leaderOf(2).has_value(); });
    const auto target = system.entryAddress(0);
    CHECK(
        system.send(target, "POST", jobsTarget, jobBody(1, 8).dump(), { { "Idempotency-Key", "move" } }).status == 202);
    TestSystem::waitFor("the job runs", [&] { return system.runningTasks() == 1; });
    system.startWorker(1, "zone-b");
    const auto put = [&](const std::string& section, const std::string& text) {
        const auto response = system.send(target, "PUT", "/v1/document/sections/" + section, text,
            { { "If-Match", "0" }, { "From", "ada" }, { "Idempotency-Key", "edit-" + section } });
        INFO(response.body);
        CHECK(response.status == 200);
    };
    put("limits", "[limits]\nadministrators = [\"ada\"]\n");
    put("zones",
        "[zones]\noperators = [\"ada\"]\n[zones.zone-a]\nin_service = false\nreason = \"maintenance\"\n"
        "[zones.zone-b]\nin_service = true\n");
    TestSystem::waitFor("the job is done", [&] { return stateOf(system, 1, "move") == "done"; });
    const auto job = nlohmann::json::parse(system.send(target, "GET", "/v1/jobs/move").body);
    CHECK(system.startedTasks() == 2);
    CHECK(job["workers"] == nlohmann::json::array({ "worker-2" }));
}
