// Measures the size of table rows and of the transactions that write them, and compares the writes with the table's
// limit. Rows that no code writes have the form specified in docs/design.md sections 2, 4 and 7.

#include "measure.h"

#include "lycheespool/placement/job_spec.h"
#include "lycheespool/store/memory_table.h"
#include "lycheespool/store/table_codec.h"

#include <nlohmann/json.hpp>

#include <string>

namespace {

using namespace lycheespool;

constexpr std::size_t repeats = 5;
constexpr std::size_t calls = 5000;

volatile std::size_t sink = 0;

double printExact(const std::string& setting, const std::string& name, std::size_t value, const std::string& unit)
{
    const auto number = static_cast<double>(value);
    bench::printFigure(setting, name, { number, number, number }, unit);
    return number;
}

/*! @brief Commits a conditional write of one row and prints the sizes of the row and its messages. */
void writeRow(MemoryTable& table, const std::string& setting, const std::string& name, const std::string& key,
    const std::string& value)
{
    const auto version = table.get(key).version;
    const Transaction transaction { { { key, version } }, { { key, value } } };
    const auto result = table.commit(transaction);
    printExact(setting, name + "_row", key.size() + value.size(), "bytes");
    printExact(setting, name + "_transaction", TableCodec::encode(transaction).size(), "bytes");
    printExact(setting, name + "_result", TableCodec::encode(result).size(), "bytes");
    const auto encode = bench::timeOf(repeats, calls, [&] { sink = TableCodec::encode(transaction).size(); });
    bench::printFigure(setting, name + "_encode", encode, "ns");
}

void measureRegistrations(MemoryTable& table)
{
    writeRow(table, "row=registration", "registration", "entry/entry-region-1-zone-a-1", "10.100.100.100:8081");
    std::vector<bench::Point> lists;
    for (const std::size_t entries : { 1, 3, 15, 64 }) {
        MemoryTable registry;
        for (std::size_t i = 0; i < entries; ++i)
            registry.commit({ {}, { { fmt::format("entry/entry-region-1-zone-a-{}", i), "10.100.100.100:8081" } } });
        const auto bytes = TableCodec::encode(registry.list("entry/")).size();
        lists.push_back({ static_cast<double>(entries),
            printExact(fmt::format("entries={}", entries), "registration_list", bytes, "bytes") });
    }
    bench::printFit("entries=1..64", "registration_list", lists, "bytes", "entry");
}

void measureLease(MemoryTable& table)
{
    const auto value = nlohmann::json { { "holder", "entry-region-1-zone-a-1" }, { "epoch", 1000 } }.dump();
    writeRow(table, "row=lease", "lease", "lease/scheduler/region-1", value);
}

nlohmann::json specOf(std::uint32_t tasks)
{
    JobSpec spec;
    spec.workspace = WorkspaceId { "workspace-100" };
    spec.tasks = tasks;
    spec.declaredRunTime = std::chrono::hours { 10 };
    spec.kind = "training";
    const auto runTimeMs = std::chrono::duration_cast<std::chrono::milliseconds>(spec.declaredRunTime).count();
    return { { "workspace", spec.workspace.value() }, { "tasks", spec.tasks }, { "cores", 8 }, { "memoryMiB", 16384 },
        { "accelerators", 1 }, { "adjacency", "zone" }, { "runTimeMs", runTimeMs }, { "urgency", "normal" },
        { "kind", spec.kind } };
}

/*! @brief The record has one spec for all tasks, so its size must not grow with the gang size. */
void measureJob(MemoryTable& table, std::uint32_t tasks)
{
    const auto setting = fmt::format("row=job tasks={}", tasks);
    const auto key = fmt::format("job/job-{:016x}", tasks);
    nlohmann::json record { { "spec", specOf(tasks) }, { "state", "queued" }, { "attempt", 0 } };
    std::size_t writes = 0;
    const auto write = [&](const std::string& name) {
        writeRow(table, setting, name, key, record.dump());
        ++writes;
    };
    write("job_queued");
    record["state"] = "running";
    record["attempt"] = 1;
    write("job_running");
    record["state"] = "done";
    write("job_done");
    printExact(setting, "designed_writes_per_job", writes, "transactions");
    record["state"] = "running";
    record["attempt"] = 2;
    record["checkpoint"] = fmt::format("checkpoint/job-{:016x}/1", tasks);
    write("job_restarted");
}

}

int main()
try {
    MemoryTable table;
    measureRegistrations(table);
    measureLease(table);
    for (const std::uint32_t tasks : { 1, 8, 64 })
        measureJob(table, tasks);
    return 0;
} catch (const std::exception& error) {
    fmt::print(stderr, "table_rows: {}\n", error.what());
    return 1;
}
