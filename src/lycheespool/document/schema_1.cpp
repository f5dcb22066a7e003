#include "lycheespool/document/schema_1.h"

#include "lycheespool/core/error.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <toml++/toml.h>

#include <algorithm>
#include <initializer_list>
#include <set>
#include <sstream>

namespace lycheespool::detail {

namespace {

// Bounds for one task; far above any worker in use, they only catch a wrong unit or a typing error.
constexpr std::int64_t maxCores = 1024;
constexpr std::int64_t maxMemoryGiB = 16384;
constexpr std::int64_t maxAccelerators = 64;
constexpr std::int64_t maxTasks = 64;
constexpr std::int64_t maxPriority = 1000;
constexpr std::int64_t maxQueue = 10'000'000;
constexpr std::int64_t maxWorkspaceCount = 10'000;
constexpr std::size_t maxReasonLength = 500;
constexpr std::uint32_t mibPerGiB = 1024;

struct Range {
    std::int64_t minimum;
    std::int64_t maximum;
};

std::string toString(const toml::node& node)
{
    std::ostringstream out;
    node.visit([&out](const auto& it) { out << it; });
    return out.str();
}

/*! @brief Reads one table of a section; reports errors with section, line, value and remedy. */
class TableReader {
public:
    TableReader(const SectionId& section, std::string path, const toml::table& table)
        : m_section { section }
        , m_path { std::move(path) }
        , m_table { table }
    {
    }

    [[noreturn]] void fail(const toml::node& node, const std::string& message, const std::string& remedy) const
    {
        throw Error { ErrorKind::invalidArgument,
            fmt::format("section {}, line {}: {}", m_section.value(), node.source().begin.line, message), remedy };
    }

    void checkFields(std::initializer_list<std::string_view> fields) const
    {
        for (const auto& [key, node] : m_table) {
            if (std::ranges::find(fields, key.str()) == fields.end())
                fail(node, fmt::format("unknown field {}.{} = {}", m_path, key.str(), toString(node)),
                    fmt::format("remove it or use one of: {}", fmt::join(fields, ", ")));
        }
    }

    [[nodiscard]] std::uint32_t number(std::string_view field, Range range, std::uint32_t defaultValue) const
    {
        const auto* node = m_table.get(field);
        if (!node)
            return defaultValue;
        const auto remedy = fmt::format("write a whole number from {} to {}", range.minimum, range.maximum);
        const auto value = as<std::int64_t>(*node, field, remedy);
        if (value < range.minimum || value > range.maximum)
            fail(*node, fmt::format("{}.{} = {} is out of range", m_path, field, value), remedy);
        return static_cast<std::uint32_t>(value);
    }

    [[nodiscard]] std::uint32_t requiredNumber(std::string_view field, Range range) const
    {
        static_cast<void>(require(field, fmt::format("add {} = <{} to {}>", field, range.minimum, range.maximum)));
        return number(field, range, 0);
    }

    [[nodiscard]] bool boolean(std::string_view field) const
    {
        return as<bool>(require(field, fmt::format("add {} = true or false", field)), field, "write true or false");
    }

    [[nodiscard]] std::string text(std::string_view field) const
    {
        const auto* node = m_table.get(field);
        if (!node)
            return {};
        const auto remedy = fmt::format("write a text of at most {} characters in quotes", maxReasonLength);
        auto value = as<std::string>(*node, field, remedy);
        if (value.size() > maxReasonLength)
            fail(*node, fmt::format("{}.{} has {} characters", m_path, field, value.size()), remedy);
        return value;
    }

    [[nodiscard]] CellAdjacency adjacency() const
    {
        const auto& node = require("adjacency", R"(add adjacency = "worker", "rack" or "zone")");
        const auto value = as<std::string>(node, "adjacency", R"(write "worker", "rack" or "zone")");
        if (value == "worker")
            return CellAdjacency::worker;
        if (value == "rack")
            return CellAdjacency::rack;
        if (value == "zone")
            return CellAdjacency::zone;
        fail(node, fmt::format("{}.adjacency = \"{}\" is unknown", m_path, value),
            R"(write "worker", "rack" or "zone")");
    }

    [[nodiscard]] std::vector<std::string> names(std::string_view field) const
    {
        const auto remedy = R"(write a list of different names, as in ["ann", "bert"])";
        const auto* node = m_table.get(field);
        if (!node)
            return {};
        const auto* list = node->as_array();
        if (!list)
            fail(*node, fmt::format("{}.{} = {} is not a list", m_path, field, toString(*node)), remedy);
        std::vector<std::string> names;
        for (const auto& it : *list)
            names.push_back(name(it, field));
        if (std::set<std::string> { names.begin(), names.end() }.size() != names.size())
            fail(*node, fmt::format("{}.{} = {} contains a name twice", m_path, field, toString(*node)), remedy);
        return names;
    }

    [[nodiscard]] std::optional<ZoneId> zone() const
    {
        const auto* node = m_table.get("zone");
        return node ? std::optional { ZoneId { name(*node, "zone") } } : std::nullopt;
    }

    [[nodiscard]] std::optional<TableReader> table(std::string_view field) const
    {
        const auto* node = m_table.get(field);
        return node ? std::optional { reader(*node, field) } : std::nullopt;
    }

    [[nodiscard]] std::vector<TableReader> tables(std::string_view field) const
    {
        const auto* node = m_table.get(field);
        if (!node)
            return {};
        const auto* list = node->as_array();
        if (!list)
            fail(*node, fmt::format("{}.{} = {} is not a list of tables", m_path, field, toString(*node)),
                fmt::format("start each entry with [[{}.{}]]", m_path, field));
        std::vector<TableReader> tables;
        for (const auto& it : *list)
            tables.push_back(reader(it, field));
        return tables;
    }

    [[nodiscard]] TableReader reader(const toml::node& node, std::string_view field) const
    {
        const auto path = m_path.empty() ? std::string { field } : fmt::format("{}.{}", m_path, field);
        if (const auto* table = node.as_table())
            return { m_section, path, *table };
        fail(node, fmt::format("{} = {} is not a table", path, toString(node)), fmt::format("write it as [{}]", path));
    }

    void checkName(const toml::node& node, std::string_view value) const
    {
        if (!isValidName(value))
            fail(node, fmt::format("{} has the invalid name \"{}\"", m_path, value),
                "use 1 to 63 lower-case letters, digits, hyphens or underscores");
    }

    [[nodiscard]] const toml::table& raw() const { return m_table; }

private:
    [[nodiscard]] const toml::node& require(std::string_view field, const std::string& remedy) const
    {
        if (const auto* node = m_table.get(field))
            return *node;
        fail(m_table, fmt::format("{}.{} is missing", m_path, field), remedy);
    }

    template <typename Value>
    [[nodiscard]] Value as(const toml::node& node, std::string_view field, const std::string& remedy) const
    {
        if (const auto* value = node.as<Value>())
            return value->get();
        fail(node, fmt::format("{}.{} = {} has the wrong type", m_path, field, toString(node)), remedy);
    }

    [[nodiscard]] std::string name(const toml::node& node, std::string_view field) const
    {
        auto value = as<std::string>(node, field, "write a name in quotes");
        checkName(node, value);
        return value;
    }

    const SectionId& m_section;
    std::string m_path;
    const toml::table& m_table;
};

ZoneSettings readZone(const std::string& name, const TableReader& reader)
{
    reader.checkFields({ "in_service", "reason" });
    ZoneSettings zone { ZoneId { name }, reader.boolean("in_service"), reader.text("reason") };
    if (!zone.inService && zone.reason.empty())
        reader.fail(reader.raw(), fmt::format("zones.{}.in_service = false has no reason", name),
            "add reason = \"...\", to document why the zone is out of service");
    return zone;
}

ZonesSettings readZones(const TableReader& reader)
{
    ZonesSettings zones;
    zones.operators = reader.names("operators");
    for (const auto& [key, node] : reader.raw()) {
        const std::string name { key.str() };
        if (name == "operators")
            continue;
        reader.checkName(node, name);
        zones.zones.push_back(readZone(name, reader.reader(node, name)));
    }
    return zones;
}

CellSettings readCell(const TableReader& reader)
{
    reader.checkFields({ "adjacency", "tasks", "cores", "memory_gib", "accelerators", "zone" });
    CellSettings cell;
    cell.adjacency = reader.adjacency();
    cell.tasks = reader.requiredNumber("tasks", { 1, maxTasks });
    cell.cores = reader.requiredNumber("cores", { 1, maxCores });
    cell.memoryMiB = reader.requiredNumber("memory_gib", { 1, maxMemoryGiB }) * mibPerGiB;
    cell.accelerators = reader.number("accelerators", { 0, maxAccelerators }, 0);
    cell.zone = reader.zone();
    return cell;
}

QueueLimits readQueue(const TableReader& reader)
{
    reader.checkFields({ "jobs", "requests" });
    QueueLimits queue;
    queue.jobs = reader.number("jobs", { 0, maxQueue }, queue.jobs);
    queue.requests = reader.number("requests", { 0, maxQueue }, queue.requests);
    return queue;
}

WorkspaceSettings readWorkspace(const WorkspaceId& id, const TableReader& reader)
{
    reader.checkFields({ "operators", "priority", "queue", "guarantee" });
    WorkspaceSettings workspace;
    workspace.id = id;
    workspace.operators = reader.names("operators");
    workspace.priority = reader.number("priority", { 0, maxPriority }, workspace.priority);
    if (const auto queue = reader.table("queue"))
        workspace.queue = readQueue(*queue);
    for (const auto& it : reader.tables("guarantee"))
        workspace.guarantees.push_back(readCell(it));
    return workspace;
}

SystemLimits readLimits(const TableReader& reader)
{
    reader.checkFields(
        { "administrators", "max_workspaces", "max_gang_tasks", "max_queued_jobs", "max_queued_requests" });
    SystemLimits limits;
    limits.administrators = reader.names("administrators");
    if (limits.administrators.empty())
        reader.fail(reader.raw(), "limits.administrators is missing or empty",
            "name at least one administrator; without one, the section could not be edited again");
    limits.maxWorkspaces = reader.number("max_workspaces", { 1, maxWorkspaceCount }, limits.maxWorkspaces);
    limits.maxGangTasks = reader.number("max_gang_tasks", { 1, maxTasks }, limits.maxGangTasks);
    limits.maxQueuedJobs = reader.number("max_queued_jobs", { 0, maxQueue }, limits.maxQueuedJobs);
    limits.maxQueuedRequests = reader.number("max_queued_requests", { 0, maxQueue }, limits.maxQueuedRequests);
    return limits;
}

toml::table parseToml(const SectionText& section)
{
    try {
        return toml::parse(std::string_view { section.text });
    } catch (const toml::parse_error& error) {
        throw Error { ErrorKind::invalidArgument,
            fmt::format(
                "section {}, line {}: {}", section.section.value(), error.source().begin.line, error.description()),
            "correct the TOML syntax on this line" };
    }
}

TableReader requireSingleTable(const TableReader& parent, std::string_view field)
{
    parent.checkFields({ field });
    if (auto reader = parent.table(field))
        return *reader;
    parent.fail(parent.raw(), fmt::format("table {} is missing", field), "start the section with its own header");
}

}

void parseSchema1(const SectionText& section, Document& document)
{
    const auto table = parseToml(section);
    const TableReader root { section.section, {}, table };
    switch (kindOf(section.section)) {
    case SectionKind::zones:
        document.zones = readZones(requireSingleTable(root, "zones"));
        return;
    case SectionKind::limits:
        document.limits = readLimits(requireSingleTable(root, "limits"));
        return;
    case SectionKind::workspace:
        const auto id = workspaceOf(section.section);
        const auto reader = requireSingleTable(requireSingleTable(root, "workspace"), id.value());
        document.workspaces.insert_or_assign(id, readWorkspace(id, reader));
        return;
    }
}

}
