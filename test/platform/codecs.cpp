#include "platform/executor_api.h"
#include "platform/job_codec.h"
#include "platform/operator_codec.h"
#include "platform/settings.h"

#include "lycheespool/core/error.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace lycheespool;
using namespace lycheespool::platform;

TEST_CASE("a job is decoded with all its fields, and absent fields are zero")
{
    const auto job = decodeJob(R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimatedMs":900,
        "dataRack":"r1-3"},{"count":20,"cpu":2000,"memMb":1024,"gpu":2,"after":[0],"checkpointing":true,"gang":true,
        "sameRack":true,"requires":"a","antiAffinity":3}],"maxRuns":2,"initialDelayMs":1780000000000,"intervalMs":50,
        "unknown":{}})");
    CHECK(job.payload == "text");
    REQUIRE(job.steps.size() == 2);
    CHECK(job.steps[0].dataRack == "r1-3");
    CHECK(job.steps[0].perTask == ResourceVector { 500, 256, 0 });
    CHECK_FALSE(job.steps[0].isGang);
    CHECK(job.steps[1].isGang);
    CHECK(job.steps[1].prefersOneRack);
    CHECK(job.steps[1].savesCheckpoints);
    CHECK(job.steps[1].requiredLabel == "a");
    CHECK(job.steps[1].maxPerExecutor == 3);
    CHECK(job.occurrences == 2);
    CHECK(job.firstDueUnixMs == 1780000000000);
}

TEST_CASE("malformed jobs are client errors and terminate no process")
{
    for (const auto* const body : { "", "[]", "{}", "{\"steps\":3}", "{\"steps\":[{\"count\":-1}]}",
             "{\"steps\":[{\"count\":\"x\"}]}", "{\"steps\":[{\"count\":99999999999}]}", "\xff\xfe" })
        CHECK_THROWS_AS((void)decodeJob(body), Error);
    CHECK(rc::check("any text", [](const std::string& text) {
        try {
            (void)decodeJob(text);
        } catch (const Error& error) {
            RC_ASSERT(error.kind() == ErrorKind::invalidArgument);
        }
    }));
}

// Guards against numbers of a caller that wrap around, and against a refusal that does not say which field is wrong.
TEST_CASE("a job whose numbers are out of range is refused with the name of the field")
{
    const std::pair<std::string, std::string> cases[] {
        { R"({"steps":[{"count":2147483648}]})", "count" },
        { R"({"steps":[{"count":1}],"maxRuns":2147483648})", "maxRuns" },
        { R"({"steps":[{"count":2147483648},{"count":2147483648}],"maxRuns":2147483648})", "count" },
        { R"({"steps":[{"count":80}],"maxRuns":80})", "maxRuns" },
        { R"({"steps":[{"count":1,"cpu":1e300}]})", "cpu" },
        { R"({"steps":[{"count":1}],"maxRuns":2,"initialDelayMs":18446744073709551615})", "initialDelayMs" },
        { R"({"steps":[{"count":1}],"maxRuns":2,"initialDelayMs":1e300})", "initialDelayMs" },
        { R"({"steps":[{"count":1}],"maxRuns":3,"intervalMs":9223372036854775807})", "intervalMs" },
    };
    for (const auto& [body, field] : cases) {
        CAPTURE(body);
        try {
            (void)decodeJob(body);
            FAIL_CHECK("accepted");
        } catch (const Error& error) {
            CHECK((error.kind() == ErrorKind::invalidArgument));
            CHECK(std::string { error.what() }.find(field) != std::string::npos);
        }
    }
}

TEST_CASE("a config is decoded, and a malformed one keeps the previous config")
{
    const auto* const text = R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","service":"s",
        "priority":1,"maxAttempts":4,"stretch":1.5,"targetLatencyMs":250.0}],"services":[{"name":"s"}],
        "tenants":[{"name":"t","apiKeys":["k"],"guaranteed":{"gpu":16}}],"later":1})";
    const auto source = operatorSource();
    const auto state = source.decode({ { "config", text }, { "evacuate/zone-a", "{}" } }, {});
    REQUIRE(state.config);
    CHECK(state.config->version == 7);
    CHECK(state.config->queue("r")->policy.maxAttempts == 4);
    CHECK(state.config->workspaceOfKey("k")->guaranteedAccelerators == 16);
    CHECK(state.zonesOut == std::set<std::string> { "zone-a" });
    const auto kept = source.decode({ { "config", "{" } }, state);
    CHECK(kept.config == state.config);
    CHECK(kept.zonesOut.empty());
}

TEST_CASE("a heartbeat is decoded, and a malformed one is rejected")
{
    const auto* const good = R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"ready","seq":4,"born":17,
        "capacity":{"cpu":16000,"memMb":32768,"gpu":8},"labels":["a","r1-3"]})";
    const auto announcement = decodeHeartbeat("i-1", good);
    CHECK(announcement.lifetime == Lifetime { "i-1", 17 });
    CHECK(announcement.capacity == ResourceVector { 16000, 32768, 8 });
    for (const auto* const body :
        { "", "{}", "{\"seq\":\"x\"}", "\xff", R"({"service":"s","zone":"z","state":"odd","seq":4})",
            R"({"service":5,"zone":"z","state":"ready","seq":4})" })
        CHECK_THROWS_AS((void)decodeHeartbeat("i-1", body), Error);
}

TEST_CASE("requests of an executor are handled, and malformed ones have no effect")
{
    int announced = 0;
    int departed = 0;
    const ExecutorEvents events { [&](const auto&) { ++announced; }, [&](const auto&) { ++departed; } };
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/instances/i-1/heartbeat";
    request.body = "{";
    CHECK(handleExecutorRequest(request, events).status == 400);
    request.body = R"({"service":"s","zone":"z","state":"draining","seq":4,"born":17})";
    CHECK(handleExecutorRequest(request, events).status == 200);
    request.path = "/v1/instances/i-1/deregister";
    CHECK(handleExecutorRequest(request, events).status == 200);
    request.path = "/v1/other";
    CHECK(handleExecutorRequest(request, events).status == 404);
    CHECK(announced == 1);
    CHECK(departed == 1);
}

TEST_CASE("settings are decoded with defaults for absent bounds, and malformed settings are rejected")
{
    const auto* const text = R"({"node":"side-1","zone":"z","ip":"10.1.0.20","listen":{"control":"10.1.0.20:8526"},
        "internalPorts":[7000,7015],"seeds":["10.2.0.1:8526"],"platform":{"addr":"10.200.1.7:8524","rowBytes":32768},
        "app":"10.1.0.20:8529","limits":{"cpuShare":0.25,"cores":2},"bounds":{"maxHoldMs":6000,"graceS":6,"remoteFactor":3},"dataDir":null,"new":[1]})";
    const auto settings = decodeSettings(text);
    CHECK(settings.internal == Address { "10.1.0.20", 7000 });
    CHECK(settings.metrics == Address { "10.1.0.20", 7001 });
    CHECK(settings.seeds == std::vector<Address> { { "10.2.0.1", 7000 } });
    CHECK(settings.rowBytes == 32'768);
    CHECK(settings.bounds.maxLease == std::chrono::seconds { 6 });
    CHECK(settings.bounds.gangAssembly == std::chrono::seconds { 3 });
    CHECK_FALSE(settings.clientAddress);
    CHECK(settings.processorShare == doctest::Approx(0.5));
    for (const auto* const bad : { "", "{}", "{\"node\":1}" })
        CHECK_THROWS_AS((void)decodeSettings(bad), Error);
}

// Guards against odd entries of another writer that end the process, or that block all later ones.
TEST_CASE("deeply nested bodies are refused without exhausting the stack")
{
    constexpr std::size_t depth = 500'000;
    const auto nested = std::string(depth, '[') + std::string(depth, ']');
    CHECK_THROWS_AS((void)decodeJob(R"({"steps":[{"count":1,"x":)" + nested + "}]}"), Error);
    CHECK_THROWS_AS((void)decodeJob(R"({"steps":[1]})"), Error);
    CHECK_THROWS_AS((void)decodeHeartbeat("i-1", nested), Error);
    CHECK_THROWS_AS((void)decodeSettings(nested), Error);
    const auto brackets = R"({"spec":")" + std::string(1000, '[') + R"(\"{","steps":[{"count":1}]})";
    CHECK(decodeJob(brackets).steps.size() == 1);
}

TEST_CASE("a heartbeat with a number that outranks all later ones is refused")
{
    const auto body = [](const std::string& born, const std::string& sequence) {
        return R"({"service":"s","zone":"z","state":"ready","born":)" + born + R"(,"seq":)" + sequence + "}";
    };
    CHECK(decodeHeartbeat("i-1", body("1772764647000", "4")).sequence == 4);
    for (const auto* number : { "1e300", "1e999", "18446744073709551615", "-1", "1.5", "\"4\"" }) {
        CAPTURE(number);
        CHECK_THROWS_AS((void)decodeHeartbeat("i-1", body("1772764647000", number)), Error);
        CHECK_THROWS_AS((void)decodeHeartbeat("i-1", body(number, "4")), Error);
    }
}
