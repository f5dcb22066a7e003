#include "lycheespool/emulator/worker_codec.h"

#include "lycheespool/core/error.h"

#include <algorithm>
#include <chrono>

namespace lycheespool {

using nlohmann::json;

namespace {

std::int64_t toMs(Duration length) { return std::chrono::duration_cast<std::chrono::milliseconds>(length).count(); }

// Ten years; longer times would overflow the nanoseconds of Duration when they are added up.
constexpr std::int64_t maxMs = std::int64_t { 10 } * 365 * 24 * 3600 * 1000;

Duration fromMs(const json& object, const char* name)
{
    const auto ms = object.at(name).get<std::int64_t>();
    return std::chrono::milliseconds { std::clamp<std::int64_t>(ms, 0, maxMs) };
}

json toJson(const Resources& size)
{
    return { { "cores", size.cores }, { "memoryMiB", size.memoryMiB }, { "accelerators", size.accelerators } };
}

Resources toResources(const json& object)
{
    return { object.at("cores").get<std::uint32_t>(), object.at("memoryMiB").get<std::uint32_t>(),
        object.at("accelerators").get<std::uint32_t>() };
}

json toJson(const TaskStatus& task)
{
    return {
        { "job", task.key.job.value() },
        { "attempt", task.key.attempt.value() },
        { "task", task.key.task },
        { "state", std::string { toString(task.state) } },
        { "detail", task.detail },
        { "size", toJson(task.size) },
        { "progressMs", toMs(task.progress) },
        { "checkpointMs", toMs(task.checkpoint) },
        { "speedPercent", task.speedPercent },
        { "usage", toJson(task.usage) },
    };
}

TaskStatus toStatus(const json& object)
{
    TaskStatus task;
    task.key.job = JobId { object.at("job").get<std::string>() };
    task.key.attempt = Attempt { object.at("attempt").get<std::uint64_t>() };
    task.key.task = object.at("task").get<std::uint32_t>();
    task.state = parseTaskState(object.at("state").get<std::string>());
    task.detail = object.at("detail").get<std::string>();
    task.size = toResources(object.at("size"));
    task.progress = fromMs(object, "progressMs");
    task.checkpoint = fromMs(object, "checkpointMs");
    task.speedPercent = object.at("speedPercent").get<std::uint32_t>();
    task.usage = toResources(object.at("usage"));
    return task;
}

template <typename Read>
auto decode(std::string_view text, Read read)
{
    try {
        return read(json::parse(text));
    } catch (const json::exception& error) {
        throw Error { ErrorKind::invalidArgument,
            std::string { "body has another form than expected: " } + error.what(),
            "see the worker's interface in docs/jobs.md" };
    }
}

}

std::string WorkerCodec::encode(const TaskStart& start)
{
    const json object {
        { "size", toJson(start.size) },
        { "runTimeMs", toMs(start.runTime) },
        { "leaseMs", toMs(start.lease) },
        { "progressMs", toMs(start.progress) },
    };
    return object.dump();
}

std::string WorkerCodec::encode(const TaskStatuses& tasks)
{
    auto list = json::array();
    for (const auto& it : tasks)
        list.push_back(toJson(it));
    return list.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string WorkerCodec::encode(const WorkerFaults& faults)
{
    const json object {
        { "failTasks", faults.failTasks },
        { "frozen", faults.frozen },
        { "failCheckpoints", faults.failCheckpoints },
        { "usagePercent", faults.usagePercent },
    };
    return object.dump();
}

TaskStart WorkerCodec::decodeStart(const TaskKey& key, std::string_view text)
{
    return decode(text, [&](const json& object) {
        return TaskStart { key, toResources(object.at("size")), fromMs(object, "runTimeMs"), fromMs(object, "leaseMs"),
            fromMs(object, "progressMs") };
    });
}

TaskStatuses WorkerCodec::decodeTasks(std::string_view text)
{
    return decode(text, [](const json& list) {
        TaskStatuses tasks;
        for (const auto& it : list)
            tasks.push_back(toStatus(it));
        return tasks;
    });
}

WorkerFaults WorkerCodec::decodeFaults(std::string_view text)
{
    return decode(text, [](const json& object) {
        WorkerFaults faults;
        faults.failTasks = object.value("failTasks", faults.failTasks);
        faults.frozen = object.value("frozen", faults.frozen);
        faults.failCheckpoints = object.value("failCheckpoints", faults.failCheckpoints);
        faults.usagePercent = object.value("usagePercent", faults.usagePercent);
        return faults;
    });
}

std::uint64_t WorkerCodec::decodeNumber(std::string_view text, const char* name)
{
    return decode(text, [&](const json& object) { return object.at(name).get<std::uint64_t>(); });
}

}
