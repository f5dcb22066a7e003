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

// Limits far above the size of any machine, which keep sums over a gang from overflowing 32 bits.
constexpr std::uint64_t maxCores = 4096;
constexpr std::uint64_t maxMemoryMiB = std::uint64_t { 16 } * 1024 * 1024;
constexpr std::uint64_t maxAccelerators = 1024;
constexpr std::uint64_t maxRunTimeSeconds = std::uint64_t { 366 } * 24 * 3600;
constexpr std::size_t maxKindLength = 64;
constexpr std::size_t maxIdLength = 100;

constexpr std::array<std::string_view, 9> knownMembers { "tasks", "cores", "memoryMiB", "accelerators",
    "runTimeSeconds", "adjacency", "urgency", "kind", "emulatedRunTimeSeconds" };

[[noreturn]] void throwInvalidMember(std::string_view name, const std::string& what, std::string remedy)
{
    throw Error { ErrorKind::invalidArgument, fmt::format("member {} {}", name, what), std::move(remedy) };
}

std::uint64_t readNumber(const json& object, const char* name, std::uint64_t minimum, std::uint64_t maximum)
{
    const auto remedy = fmt::format("use an integer from {} to {}", minimum, maximum);
    const auto it = object.find(name);
    if (it == object.end())
        throwInvalidMember(name, "is missing", remedy);
    if (!it->is_number_unsigned())
        throwInvalidMember(name, "is not a non-negative integer", remedy);
    const auto value = it->get<std::uint64_t>();
    if (value < minimum || value > maximum)
        throwInvalidMember(name, fmt::format("is {}, out of range", value), remedy);
    return value;
}

std::string readString(const json& object, const char* name, std::string fallback)
{
    const auto it = object.find(name);
    if (it == object.end())
        return fallback;
    if (!it->is_string())
        throwInvalidMember(name, "is not a string", "use a JSON string");
    return it->get<std::string>();
}

void requireKnownMembers(const json& object)
{
    for (const auto& [name, value] : object.items()) {
        if (std::ranges::find(knownMembers, name) == knownMembers.end())
            throwInvalidMember(name, "is unknown", fmt::format("use {}", fmt::join(knownMembers, ", ")));
    }
}

std::string readKind(const json& object)
{
    auto kind = readString(object, "kind", {});
    if (kind.size() > maxKindLength)
        throwInvalidMember("kind", "is too long", fmt::format("use at most {} bytes", maxKindLength));
    return kind;
}

json parseObject(std::string_view body)
{
    auto object = json::parse(body, nullptr, false);
    if (!object.is_object())
        throw Error { ErrorKind::invalidArgument, "the job is not a JSON object", "see docs/jobs.md for an example" };
    return object;
}

Resources readTaskResources(const json& object)
{
    Resources size;
    size.cores = static_cast<std::uint32_t>(readNumber(object, "cores", 1, maxCores));
    size.memoryMiB = static_cast<std::uint32_t>(readNumber(object, "memoryMiB", 1, maxMemoryMiB));
    size.accelerators = static_cast<std::uint32_t>(readNumber(object, "accelerators", 0, maxAccelerators));
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
    record.spec.tasks = static_cast<std::uint32_t>(readNumber(object, "tasks", 1, maxGangTasks));
    record.spec.perTask = readTaskResources(object);
    record.spec.adjacency = parseAdjacency(readString(object, "adjacency", "zone"));
    record.spec.declaredRunTime = std::chrono::seconds { readNumber(object, "runTimeSeconds", 1, maxRunTimeSeconds) };
    record.spec.urgency = parseUrgency(readString(object, "urgency", "normal"));
    record.spec.kind = readKind(object);
    if (object.contains("emulatedRunTimeSeconds"))
        record.emulatedRunTime
            = std::chrono::seconds { readNumber(object, "emulatedRunTimeSeconds", 1, maxRunTimeSeconds) };
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
