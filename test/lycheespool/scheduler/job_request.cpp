#include "lycheespool/scheduler/job_request.h"

#include "lycheespool/core/error.h"
#include "lycheespool/scheduler/job_rows.h"

#include <doctest/doctest.h>

#include <array>
#include <string>

using namespace lycheespool;

namespace {

JobRecord parse(const std::string& body)
{
    return parseJobRequest(WorkspaceId { "ws" }, JobId { "j-1" }, "somebody", body);
}

std::string messageOf(const std::string& body)
{
    try {
        (void)parse(body);
    } catch (const Error& error) {
        CHECK_FALSE(error.remedy().empty());
        return error.what();
    }
    return "accepted";
}

const std::string sizes { R"("cores":4,"memoryMiB":1000,"accelerators":2,"runTimeSeconds":60)" };

}

// Guards against a size that overflows in the placement, and against a misspelled member that silently means the
// default.
TEST_CASE("an invalid job request is rejected with the name of the invalid member")
{
    const std::array<std::pair<std::string, std::string>, 9> cases { {
        { "[", "not a JSON object" },
        { R"({"tasks":0,)" + sizes + "}", "tasks" },
        { R"({"tasks":65,)" + sizes + "}", "tasks" },
        { R"({"tasks":-1,)" + sizes + "}", "tasks" },
        { R"({"tasks":1.5,)" + sizes + "}", "tasks" },
        { R"({"tasks":1})", "cores" },
        { R"({"tasks":1,"cores":4294967297,"memoryMiB":1,"accelerators":0,"runTimeSeconds":1})", "cores" },
        { R"({"tasks":1,"adjacency":"row",)" + sizes + "}", "adjacency" },
        { R"({"tasks":1,"urgancy":"urgent",)" + sizes + "}", "urgancy" },
    } };
    for (const auto& [body, expected] : cases)
        CHECK(messageOf(body).find(expected) != std::string::npos);
    CHECK_THROWS_AS(requireJobId(JobId { "a/b" }), Error);
}

// Guards against a member of the record that is lost between the entry's write and the leader's read.
TEST_CASE("a decoded record equals the encoded one")
{
    auto record = parse(R"({"tasks":3,"adjacency":"rack","urgency":"urgent","kind":"k",)" + sizes + "}");
    record.state = JobState::running;
    record.attempt = Attempt { 4 };
    record.workers = { WorkerId { "a" }, WorkerId { "b" }, WorkerId { "a" } };
    record.reason = "because \"so\"";
    const auto decoded = JobRecord::decode(record.encode());
    CHECK(decoded.encode() == record.encode());
    CHECK((decoded.spec.adjacency == Adjacency::rack && decoded.spec.urgency == Urgency::urgent));
    CHECK_THROWS_AS((void)JobRecord::decode("{}"), Error);
}

// Guards against a transition out of a final state, which would run a job again after its end was reported.
TEST_CASE("a job never leaves a final state")
{
    for (const auto from : { JobState::done, JobState::failed, JobState::cancelled }) {
        for (int to = 0; to < 7; ++to)
            CHECK_FALSE(isAllowed(from, static_cast<JobState>(to)));
    }
    auto record = parse(R"({"tasks":1,)" + sizes + "}");
    CHECK_THROWS_AS(record.change(JobState::running), Error);
    record.change(JobState::cancelled, "on request");
    CHECK_THROWS_AS((void)JobRows::cancel({ "job/j-1", record.encode(), 1 }), Error);
}
