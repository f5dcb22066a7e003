// Measures the propagation delay of a document change: one entry accepts the edits, another one reports to the agents.

#include "measure.h"

#include "lycheespool/agent/entry_link.h"
#include "lycheespool/cli/settings_parser.h"
#include "lycheespool/core/error.h"
#include "lycheespool/emulator/table_service.h"
#include "lycheespool/entry/entry_process.h"
#include "lycheespool/net/http_client.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <memory>
#include <thread>
#include <vector>

namespace {

using namespace lycheespool;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration callTimeout = seconds { 10 };
constexpr Duration propagationTimeout = seconds { 60 };
constexpr std::size_t agentThreads = 2;

/*! @brief Endpoint that records when it received the latest revision. */
class RecordingEndpoint {
public:
    explicit RecordingEndpoint(std::size_t index)
        : m_index { index }
    {
    }

    [[nodiscard]] Hello hello() const
    {
        Hello hello;
        hello.agent = AgentId { fmt::format("worker-{:05}", m_index) };
        hello.incarnation = Incarnation { m_index + 1 };
        hello.kind = EndpointKind::worker;
        hello.zone = ZoneId { "zone-a" };
        hello.rack = RackId { fmt::format("rack-{}", m_index / 3) };
        return hello;
    }

    [[nodiscard]] Heartbeat heartbeat() const
    {
        Heartbeat heartbeat;
        heartbeat.incarnation = Incarnation { m_index + 1 };
        return heartbeat;
    }

    void handle(const std::shared_ptr<RpcConnection>&, const Envelope&) { }

    void received(const HeartbeatReply& reply, TimePoint)
    {
        if (reply.freshness.revision.value() <= m_revision)
            return;
        m_receivedAt = SteadyClock {}.now().time_since_epoch().count();
        m_revision = reply.freshness.revision.value();
    }

    [[nodiscard]] Awaitable<bool> drain(Duration) { co_return true; }

    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    [[nodiscard]] TimePoint receivedAt() const { return TimePoint { TimePoint::duration { m_receivedAt.load() } }; }

private:
    std::size_t m_index;
    std::atomic<std::uint64_t> m_revision { 0 };
    std::atomic<TimePoint::rep> m_receivedAt { 0 };
};

using Link = EntryLink<RecordingEndpoint>;

Awaitable<> runLink(std::shared_ptr<Link> link, Duration delay)
{
    co_await sleepFor(delay);
    co_await link->run(Duration::max());
}

EntrySettings entrySettings(const std::string& id, const Address& table)
{
    EntrySettings settings;
    settings.id = EntryId { id };
    settings.incarnation = Incarnation { 1 };
    settings.zone = ZoneId { "zone-a" };
    settings.http = { "127.0.0.1", 0 };
    settings.rpc = { "127.0.0.1", 0 };
    settings.table = table;
    return settings;
}

/*! @brief An entry with its own threads and metrics. */
struct EntryInstance {
    EntryInstance(const std::string& id, const Address& table)
        : entry { pool, entrySettings(id, table), metrics }
    {
        entry.start();
    }

    ~EntryInstance() { pool.stop(); }
    EntryInstance(const EntryInstance&) = delete;
    EntryInstance& operator=(const EntryInstance&) = delete;

    IoPool pool { 2 };
    Metrics metrics;
    EntryProcess entry;
};

/*! @brief HTTP client that sends edits to an entry. */
class DocumentEditor {
public:
    explicit DocumentEditor(const Address& entry)
        : m_client { entry }
    {
    }

    ~DocumentEditor() { m_pool.stop(); }
    DocumentEditor(const DocumentEditor&) = delete;
    DocumentEditor& operator=(const DocumentEditor&) = delete;

    std::uint64_t edit(const std::string& section, const std::string& text, std::uint64_t base)
    {
        HttpRequest request;
        request.method = "PUT";
        request.path = "/v1/document/sections/" + section;
        request.body = text;
        request.fields = { { "If-Match", std::to_string(base) }, { "From", "ada" },
            { "Idempotency-Key", fmt::format("edit-{}", ++m_edits) } };
        const auto response
            = asio::co_spawn(m_pool.context(), m_client.send(std::move(request), callTimeout), asio::use_future).get();
        if (response.status != 200)
            throw Error { ErrorKind::internal, "edit was not accepted: " + response.body, "check the benchmark" };
        return nlohmann::json::parse(response.body)["revision"].get<std::uint64_t>();
    }

private:
    IoPool m_pool { 1 };
    HttpClient m_client;
    std::uint64_t m_edits { 0 };
};

void waitForRevision(const std::vector<std::unique_ptr<RecordingEndpoint>>& agents, std::uint64_t revision)
{
    const auto start = SteadyClock {}.now();
    const auto hasRevision = [&](const auto& it) { return it->revision() >= revision; };
    while (!std::ranges::all_of(agents, hasRevision)) {
        if (SteadyClock {}.now() - start > propagationTimeout)
            throw Error { ErrorKind::deadlineExceeded, "a change did not reach all agents", "run with fewer agents" };
        std::this_thread::sleep_for(milliseconds { 5 });
    }
}

double quantile(const std::vector<double>& sorted, double probability)
{
    return sorted[static_cast<std::size_t>(probability * static_cast<double>(sorted.size() - 1))];
}

void measure(std::size_t agents, std::size_t edits)
{
    IoPool tablePool { 2 };
    Metrics tableMetrics;
    TableService table { tablePool, { "127.0.0.1", 0 }, tableMetrics };
    table.start();
    EntryInstance accepting { "entry-1", table.address() };
    EntryInstance reporting { "entry-2", table.address() };
    IoPool pool { agentThreads };
    Metrics metrics;
    std::vector<std::unique_ptr<RecordingEndpoint>> endpoints;
    for (std::size_t i = 0; i < agents; ++i) {
        auto& endpoint = *endpoints.emplace_back(std::make_unique<RecordingEndpoint>(i));
        auto link = std::make_shared<Link>(
            endpoint, reporting.entry.rpcAddress(), metrics, [](const std::vector<std::string>&) {});
        const auto delay = heartbeatInterval * static_cast<int>(i) / static_cast<int>(agents);
        asio::co_spawn(pool.context(i % agentThreads), runLink(std::move(link), delay), asio::detached);
    }
    DocumentEditor ada { accepting.entry.httpAddress() };
    (void)ada.edit("limits", "[limits]\nadministrators = [\"ada\"]\n", 0);
    std::uint64_t base = 0;
    std::vector<double> delaysMs;
    auto& reads = tableMetrics.counter("emulated_table_reads_total");
    auto& writes = tableMetrics.counter("emulated_table_writes_total");
    const auto readsBefore = reads.value();
    const auto writesBefore = writes.value();
    const auto start = SteadyClock {}.now();
    for (std::size_t i = 0; i < edits; ++i) {
        const auto text = fmt::format("[zones]\noperators = [\"ada\"]\n[zones.zone-a]\nin_service = true\n# {}\n", i);
        base = ada.edit("zones", text, base);
        const auto accepted = SteadyClock {}.now();
        waitForRevision(endpoints, base);
        for (const auto& it : endpoints)
            delaysMs.push_back(std::chrono::duration<double, std::milli> { it->receivedAt() - accepted }.count());
        // Varies the pause so that edits do not synchronize with the entries' periodic reads.
        std::this_thread::sleep_for(milliseconds { 137 * (i % 4) });
    }
    const std::chrono::duration<double> elapsed = SteadyClock {}.now() - start;
    std::ranges::sort(delaysMs);
    fmt::print("agents={} edits={} p50_ms={:.0f} p99_ms={:.0f} max_ms={:.0f} table_reads_per_s={:.1f} "
               "table_writes_per_s={:.1f}\n",
        agents, edits, quantile(delaysMs, 0.5), quantile(delaysMs, 0.99), delaysMs.back(),
        static_cast<double>(reads.value() - readsBefore) / elapsed.count(),
        static_cast<double>(writes.value() - writesBefore) / elapsed.count());
    std::fflush(stdout);
    pool.stop();
    // Stops the table's threads, so that they do not call its handler while it is destroyed.
    tablePool.stop();
}

}

int main(int argc, char** argv)
{
    const std::vector<std::string> args { argv + 1, argv + argc };
    SettingsParser parser { "document_spread", "Measures the time until agents receive an accepted change." };
    parser.addNumber("edits", "edits for each number of agents", 40, 1, 10000);
    try {
        parser.parse(args);
        for (const std::size_t agents : { 11, 100, 1000 })
            measure(agents, parser.number("edits"));
    } catch (const Error& error) {
        fmt::print(stderr, "document_spread: {}\n", error.what());
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
