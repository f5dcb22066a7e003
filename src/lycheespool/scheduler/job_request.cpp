#include "lycheespool/scheduler/job_request.h"

#include "lycheespool/core/error.h"
#include "lycheespool/scheduler/job_names.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdint>

namespace lycheespool {

using nlohmann::json;

namespace {

// Bounds far above any machine, so that sums over a gang cannot overflow 32 bits.
constexpr std::uint64_t maxCores = 4096;
constexpr std::uint64_t maxMemoryMiB = std::uint64_t { 16 } * 1024 * 1024;
constexpr std::uint64_t maxAccelerators = 1024;
constexpr std::uint64_t maxRunTimeSeconds = std::uint64_t { 366 } * 24 * 3600;
constexpr std::size_t maxKindLength = 64;
constexpr std::size_t maxIdLength = 100;

constexpr std::array<std::string_view, 9> members { "tasks", "cores", "memoryMiB", "accelerators", "runTimeSeconds",
    "adjacency", "urgency", "kind", "emulatedRunTimeSeconds" };

[[noreturn]] void refuse(std::string_view name, const std::string& what, std::string remedy)
{
    throw Error { ErrorKind::invalidArgument, fmt::format("member {} {}", name, what), std::move(remedy) };
}

std::uint64_t number(const json& object, const char* name, std::uint64_t least, std::uint64_t most)
{
    const auto remedy = fmt::format("give an integer from {} to {}", least, most);
    const auto it = object.find(name);
    if (it == object.end())
        refuse(name, "is missing", remedy);
    if (!it->is_number_unsigned())
        refuse(name, "is not a whole number of zero or more", remedy);
    const auto value = it->get<std::uint64_t>();
    if (value < least || value > most)
        refuse(name, fmt::format("is {}, out of range", value), remedy);
    return value;
}

std::string text(const json& object, const char* name, std::string fallback)
{
    const auto it = object.find(name);
    if (it == object.end())
        return fallback;
    if (!it->is_string())
        refuse(name, "is not a string", "put it in quotation marks");
    return it->get<std::string>();
}

void requireKnownMembers(const json& object)
{
    for (const auto& [name, value] : object.items()) {
        if (std::ranges::find(members, name) == members.end())
            refuse(name, "is unknown", fmt::format("use {}", fmt::join(members, ", ")));
    }
}

std::string kindOf(const json& object)
{
    auto kind = text(object, "kind", {});
    if (kind.size() > maxKindLength)
        refuse("kind", "is too long", fmt::format("use at most {} bytes", maxKindLength));
    return kind;
}

json parseObject(std::string_view body)
{
    auto object = json::parse(body, nullptr, false);
    if (!object.is_object())
        throw Error { ErrorKind::invalidArgument, "the job is not a JSON object", "see docs/jobs.md for an example" };
    return object;
}

Resources sizeOf(const json& object)
{
    Resources size;
    size.cores = static_cast<std::uint32_t>(number(object, "cores", 1, maxCores));
    size.memoryMiB = static_cast<std::uint32_t>(number(object, "memoryMiB", 1, maxMemoryMiB));
    size.accelerators = static_cast<std::uint32_t>(number(object, "accelerators", 0, maxAccelerators));
    return size;
}

}

JobRecord parseJobRequest(const WorkspaceId& workspace, const JobId& id, std::string submittedBy, std::string_view body)
{
    requireJobId(id);
    const auto object = parseObject(body);
    requireKnownMembers(object);
    JobRecord record;
    record.spec.id = id;
    record.spec.workspace = workspace;
    record.spec.tasks = static_cast<std::uint32_t>(number(object, "tasks", 1, maxGangTasks));
    record.spec.perTask = sizeOf(object);
    record.spec.adjacency = parseAdjacency(text(object, "adjacency", "zone"));
    record.spec.declaredRunTime = std::chrono::seconds { number(object, "runTimeSeconds", 1, maxRunTimeSeconds) };
    record.spec.urgency = parseUrgency(text(object, "urgency", "normal"));
    record.spec.kind = kindOf(object);
    if (object.contains("emulatedRunTimeSeconds"))
        record.emulatedRunTime
            = std::chrono::seconds { number(object, "emulatedRunTimeSeconds", 1, maxRunTimeSeconds) };
    record.submittedBy = std::move(submittedBy);
    return record;
}

void requireJobId(const JobId& id)
{
    const auto& name = id.value();
    const bool valid = !name.empty() && name.size() <= maxIdLength && std::ranges::all_of(name, [](unsigned char it) {
        return std::isalnum(it) != 0 || it == '.' || it == '_' || it == '-';
    });
    if (!valid)
        throw Error { ErrorKind::invalidArgument, "the job identifier is not valid",
            "use 1 to 100 letters, digits, '.', '_' and '-'" };
}

std::string describeJob(const JobRecord& record)
{
    auto object = json::parse(record.encode());
    return object.dump(2);
}

}
