#include "lycheespool/scheduler/job_record.h"

#include "lycheespool/core/error.h"
#include "lycheespool/scheduler/job_names.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace lycheespool {

using nlohmann::json;

namespace {

std::int64_t toMs(Duration length) { return std::chrono::duration_cast<std::chrono::milliseconds>(length).count(); }

Duration fromMs(const json& value) { return std::chrono::milliseconds { value.get<std::int64_t>() }; }

json toJson(const JobSpec& spec)
{
    return {
        { "id", spec.id.value() },
        { "workspace", spec.workspace.value() },
        { "tasks", spec.tasks },
        { "cores", spec.perTask.cores },
        { "memoryMiB", spec.perTask.memoryMiB },
        { "accelerators", spec.perTask.accelerators },
        { "adjacency", std::string { toString(spec.adjacency) } },
        { "runTimeMs", toMs(spec.declaredRunTime) },
        { "urgency", std::string { toString(spec.urgency) } },
        { "kind", spec.kind },
    };
}

JobSpec toSpec(const json& object)
{
    JobSpec spec;
    spec.id = JobId { object.at("id").get<std::string>() };
    spec.workspace = WorkspaceId { object.at("workspace").get<std::string>() };
    spec.tasks = object.at("tasks").get<std::uint32_t>();
    spec.perTask.cores = object.at("cores").get<std::uint32_t>();
    spec.perTask.memoryMiB = object.at("memoryMiB").get<std::uint32_t>();
    spec.perTask.accelerators = object.at("accelerators").get<std::uint32_t>();
    spec.adjacency = parseAdjacency(object.at("adjacency").get<std::string>());
    spec.declaredRunTime = fromMs(object.at("runTimeMs"));
    spec.urgency = parseUrgency(object.at("urgency").get<std::string>());
    spec.kind = object.at("kind").get<std::string>();
    return spec;
}

JobRecord toRecord(const json& object)
{
    JobRecord record;
    record.spec = toSpec(object.at("spec"));
    record.state = parseJobState(object.at("state").get<std::string>());
    record.attempt = Attempt { object.at("attempt").get<std::uint64_t>() };
    for (const auto& it : object.at("workers"))
        record.workers.emplace_back(it.get<std::string>());
    record.checkpoint = fromMs(object.at("checkpointMs"));
    record.reason = object.at("reason").get<std::string>();
    record.submittedBy = object.at("submittedBy").get<std::string>();
    record.cancelRequested = object.at("cancelRequested").get<bool>();
    record.emulatedRunTime = fromMs(object.at("emulatedRunTimeMs"));
    return record;
}

}

std::string JobRecord::encode() const
{
    auto names = json::array();
    for (const auto& it : workers)
        names.push_back(it.value());
    const json object {
        { "spec", toJson(spec) },
        { "state", std::string { toString(state) } },
        { "attempt", attempt.value() },
        { "workers", std::move(names) },
        { "checkpointMs", toMs(checkpoint) },
        { "reason", reason },
        { "submittedBy", submittedBy },
        { "cancelRequested", cancelRequested },
        { "emulatedRunTimeMs", toMs(emulatedRunTime) },
    };
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

JobRecord JobRecord::decode(std::string_view text)
{
    try {
        return toRecord(json::parse(text));
    } catch (const json::exception& error) {
        throw Error { ErrorKind::invalidArgument,
            std::string { "job row does not have the expected format: " } + error.what(),
            "check that all entries run the same version" };
    }
}

void JobRecord::change(JobState next, std::string why)
{
    if (next != state && !isAllowed(state, next))
        throw Error { ErrorKind::internal,
            fmt::format("job {} cannot change from {} to {}", spec.id.value(), toString(state), toString(next)),
            "report this error together with the log of the process" };
    state = next;
    reason = std::move(why);
}

}
