// Measures the load of agents on an entry: the entry runs in its own process, minimal agents and the table in this one.

#include "measure.h"

#include "lycheespool/agent/entry_link.h"
#include "lycheespool/cli/settings_parser.h"
#include "lycheespool/core/error.h"
#include "lycheespool/emulator/table_service.h"
#include "lycheespool/entry/entry_process.h"
#include "lycheespool/net/http_client.h"

#include <charconv>
#include <csignal>
#include <ctime>
#include <future>
#include <spawn.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace lycheespool;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t fleetThreads = 2;
constexpr std::size_t entryThreads = 4;
// An agent that connects late waits for one heartbeat interval; this timeout is added to it.
constexpr Duration joinTimeout = seconds { 30 };
constexpr Duration pollInterval = milliseconds { 2 };

struct Settings {
    std::vector<std::size_t> sizes;
    Duration interval {};
    std::size_t windows { 0 };
    Duration window {};
    std::size_t restarts { 0 };
    Address http;
    Address rpc;
};

double secondsOf(Duration length) { return std::chrono::duration<double> { length }.count(); }

/*! @brief Minimal model of Endpoint: announces a worker without tasks. */
class IdleWorkerEndpoint {
public:
    explicit IdleWorkerEndpoint(std::size_t index)
        : m_index { index }
    {
    }

    [[nodiscard]] Hello hello() const
    {
        Hello hello;
        hello.agent = AgentId { fmt::format("worker-{:05}", m_index) };
        hello.incarnation = incarnation();
        hello.kind = EndpointKind::worker;
        hello.zone = ZoneId { fmt::format("zone-{}", m_index % 3) };
        hello.rack = RackId { fmt::format("rack-{}", m_index / 3) };
        hello.cores = 60;
        hello.memoryMiB = 131072;
        hello.accelerators = 8;
        return hello;
    }

    [[nodiscard]] Heartbeat heartbeat()
    {
        Heartbeat heartbeat;
        heartbeat.incarnation = incarnation();
        heartbeat.sequence = ++m_sequence;
        return heartbeat;
    }

    void handle(const std::shared_ptr<RpcConnection>&, const Envelope&) { }
    void received(const HeartbeatReply&, TimePoint) { m_hasReply = true; }

    [[nodiscard]] Awaitable<bool> drain(Duration) { co_return true; }

    [[nodiscard]] bool hasReply() const { return m_hasReply; }
    void clearReply() { m_hasReply = false; }

private:
    [[nodiscard]] Incarnation incarnation() const { return Incarnation { (std::uint64_t { 1 } << 62U) + m_index }; }

    std::size_t m_index;
    std::uint64_t m_sequence { 0 };
    std::atomic<bool> m_hasReply { false };
};

using Link = EntryLink<IdleWorkerEndpoint>;

Awaitable<> runLink(std::shared_ptr<Link> link, Duration delay)
{
    co_await sleepFor(delay);
    co_await link->run(Duration::max());
}

/*! @brief Agents that share two threads. */
class Fleet {
public:
    Fleet(std::size_t size, const Address& entry, Duration interval)
        : m_pool { fleetThreads }
    {
        for (std::size_t i = 0; i < size; ++i) {
            auto& endpoint = *m_endpoints.emplace_back(std::make_unique<IdleWorkerEndpoint>(i));
            auto link = std::make_shared<Link>(
                endpoint, entry, m_metrics, [](const std::vector<std::string>&) {}, interval);
            // Spreads the heartbeats over the interval, as agents that started independently do.
            const auto delay = interval * static_cast<int>(i) / static_cast<int>(size);
            asio::co_spawn(m_pool.context(i % fleetThreads), runLink(std::move(link), delay), asio::detached);
        }
    }

    ~Fleet() { m_pool.stop(); }
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    void clearReplies()
    {
        for (const auto& it : m_endpoints)
            it->clearReply();
    }

    /*! @brief Waits until every agent received a reply; returns the elapsed time since the start. */
    [[nodiscard]] Duration awaitReplies(TimePoint start, Duration timeout) const
    {
        const auto hasReply = [](const auto& it) { return it->hasReply(); };
        while (!std::ranges::all_of(m_endpoints, hasReply)) {
            if (SteadyClock {}.now() - start > timeout)
                throw Error { ErrorKind::deadlineExceeded, "agents received no reply from the entry in time",
                    "run again on a less busy machine or with fewer agents" };
            std::this_thread::sleep_for(pollInterval);
        }
        return SteadyClock {}.now() - start;
    }

    /*! @brief Processor time of the agents' threads in seconds. */
    [[nodiscard]] double processorSeconds()
    {
        double total = 0;
        for (std::size_t i = 0; i < fleetThreads; ++i) {
            std::promise<double> promise;
            asio::post(m_pool.context(i), [&] {
                timespec time {};
                ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
                promise.set_value(static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9);
            });
            total += promise.get_future().get();
        }
        return total;
    }

private:
    Metrics m_metrics;
    std::vector<std::unique_ptr<IdleWorkerEndpoint>> m_endpoints;
    IoPool m_pool;
};

/*! @brief Process of the entry; killed by the destructor. */
class EntryChild {
public:
    explicit EntryChild(std::vector<std::string> args)
    {
        std::vector<char*> words;
        words.reserve(args.size() + 1);
        for (auto& it : args)
            words.push_back(it.data());
        words.push_back(nullptr);
        if (::posix_spawn(&m_pid, "/proc/self/exe", nullptr, nullptr, words.data(), environ) != 0)
            throw Error { ErrorKind::internal, "cannot start the entry process", "check the process limit" };
    }

    ~EntryChild()
    {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }

    EntryChild(const EntryChild&) = delete;
    EntryChild& operator=(const EntryChild&) = delete;

private:
    pid_t m_pid { 0 };
};

/*! @brief Snapshot of the entry's metrics. */
class Scrape {
public:
    Scrape(IoPool& pool, HttpClient& client)
    {
        HttpRequest request;
        request.method = "GET";
        request.path = "/metrics";
        const auto response
            = asio::co_spawn(pool.context(), client.send(std::move(request), seconds { 5 }), asio::use_future).get();
        m_time = SteadyClock {}.now();
        std::istringstream lines { response.body };
        std::string name;
        double value = 0;
        for (std::string line; std::getline(lines, line);) {
            std::istringstream words { line };
            if (words >> name >> value)
                m_values[name] = value;
        }
    }

    [[nodiscard]] double value(const std::string& name) const
    {
        const auto it = m_values.find("lycheespool_" + name);
        return it == m_values.end() ? 0 : it->second;
    }

    [[nodiscard]] double rateSince(const Scrape& earlier, const std::string& name) const
    {
        return (value(name) - earlier.value(name)) / secondsOf(m_time - earlier.m_time);
    }

    [[nodiscard]] double secondsSince(const Scrape& earlier) const { return secondsOf(m_time - earlier.m_time); }

private:
    TimePoint m_time;
    std::map<std::string, double> m_values;
};

/*! @brief Samples of one figure at the current size and its medians at all sizes. */
struct Series {
    std::string unit;
    std::vector<double> samples;
    std::vector<bench::Point> points;
};

class Benchmark {
public:
    explicit Benchmark(Settings settings)
        : m_settings { std::move(settings) }
        , m_pool { 1 }
        , m_table { m_pool, { "127.0.0.1", 0 }, m_metrics }
        , m_client { m_settings.http }
        , m_label { fmt::format("interval_ms={:.0f}", secondsOf(m_settings.interval) * 1000) }
    {
        m_table.start();
    }

    ~Benchmark() { m_pool.stop(); }
    Benchmark(const Benchmark&) = delete;
    Benchmark& operator=(const Benchmark&) = delete;

    void run()
    {
        for (const auto size : m_settings.sizes)
            measureSize(size);
        if (m_settings.sizes.size() < 3)
            return;
        for (const auto& [name, series] : m_series)
            bench::printFit(m_label, name, series.points, series.unit, "agent");
    }

private:
    [[nodiscard]] std::unique_ptr<EntryChild> startEntry()
    {
        return std::make_unique<EntryChild>(std::vector<std::string> { "agent_fan_in", "entry",
            m_settings.http.toString(), m_settings.rpc.toString(), m_table.address().toString() });
    }

    void measureSize(std::size_t size)
    {
        auto entry = startEntry();
        Fleet fleet { size, m_settings.rpc, m_settings.interval };
        (void)fleet.awaitReplies(SteadyClock {}.now(), joinTimeout + m_settings.interval);
        measureWindows(fleet, size);
        for (std::size_t i = 0; i < m_settings.restarts; ++i) {
            const auto start = SteadyClock {}.now();
            entry.reset();
            fleet.clearReplies();
            entry = startEntry();
            const auto elapsed = fleet.awaitReplies(start, joinTimeout + m_settings.interval);
            record("restart_all_back", "s", secondsOf(elapsed));
            // Shifts the heartbeat phase of the next restart, so that the spread covers different phases.
            if (i + 1 < m_settings.restarts)
                std::this_thread::sleep_for(m_settings.interval + m_settings.interval / 3);
        }
        print(size);
    }

    void measureWindows(Fleet& fleet, std::size_t size)
    {
        const Scrape first { m_pool, m_client };
        auto before = first;
        for (std::size_t i = 0; i < m_settings.windows; ++i) {
            const auto fleetBefore = fleet.processorSeconds();
            std::this_thread::sleep_for(m_settings.window);
            const Scrape after { m_pool, m_client };
            const auto fleetUsed = fleet.processorSeconds() - fleetBefore;
            record("entry_cpu", "ms/s", after.rateSince(before, "process_cpu_seconds_total") * 1000);
            record("entry_resident", "KiB", after.value("process_resident_bytes") / 1024);
            record("entry_received", "B/s", after.rateSince(before, "rpc_bytes_received_total"));
            record("entry_sent", "B/s", after.rateSince(before, "rpc_bytes_sent_total"));
            record("entry_frames_received", "1/s", after.rateSince(before, "rpc_frames_received_total"));
            record("fleet_cpu", "ms/s", fleetUsed / after.secondsSince(before) * 1000);
            const auto frames = after.value("rpc_frames_received_total") - before.value("rpc_frames_received_total");
            const auto used = after.value("process_cpu_seconds_total") - before.value("process_cpu_seconds_total");
            if (frames > 0)
                recordUnfitted("entry_cpu_per_heartbeat", "us", used / frames * 1e6);
            recordUnfitted(
                "agent_cpu", "us/s", fleetUsed / after.secondsSince(before) / static_cast<double>(size) * 1e6);
            before = after;
        }
        // One value over all windows, because the registration is renewed less than once per window.
        record("entry_table_reads", "1/s", before.rateSince(first, "table_reads_total"));
        record("entry_table_writes", "1/s", before.rateSince(first, "table_writes_total"));
    }

    void record(const std::string& name, const std::string& unit, double value)
    {
        auto& series = m_series[name];
        series.unit = unit;
        series.samples.push_back(value);
    }

    void recordUnfitted(const std::string& name, const std::string& unit, double value)
    {
        auto& series = m_unfittedSeries[name];
        series.unit = unit;
        series.samples.push_back(value);
    }

    void print(std::size_t size)
    {
        const auto setting = fmt::format("{} agents={}", m_label, size);
        for (auto* all : { &m_series, &m_unfittedSeries }) {
            for (auto& [name, series] : *all) {
                const auto spread = bench::spreadOf(std::exchange(series.samples, {}));
                series.points.push_back({ static_cast<double>(size), spread.median });
                bench::printFigure(setting, name, spread, series.unit);
            }
        }
    }

    Settings m_settings;
    Metrics m_metrics;
    IoPool m_pool;
    TableService m_table;
    HttpClient m_client;
    std::string m_label;
    std::map<std::string, Series> m_series;
    /*! @brief Figures per heartbeat or per agent, which are not fitted over the number of agents. */
    std::map<std::string, Series> m_unfittedSeries;
};

int runEntry(const std::string& http, const std::string& rpc, const std::string& table)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    EntrySettings settings;
    settings.id = EntryId { "entry-1" };
    settings.zone = ZoneId { "zone-0" };
    settings.http = parseAddress(http);
    settings.rpc = parseAddress(rpc);
    settings.table = parseAddress(table);
    IoPool pool { entryThreads };
    Metrics metrics;
    EntryProcess entry { pool, std::move(settings), metrics };
    entry.start();
    while (true)
        ::pause();
}

std::vector<std::size_t> parseSizes(const std::string& text)
{
    std::vector<std::size_t> sizes;
    std::istringstream stream { text };
    for (std::string it; std::getline(stream, it, ',');) {
        std::size_t size = 0;
        const auto [end, status] = std::from_chars(it.data(), it.data() + it.size(), size);
        if (status != std::errc {} || end != it.data() + it.size() || size < 1 || size > 4000)
            throw Error { ErrorKind::invalidSetting, "setting --agents: '" + it + "' is not allowed",
                "use numbers from 1 to 4000, separated by commas" };
        sizes.push_back(size);
    }
    return sizes;
}

Settings parseSettings(int argc, char** argv)
{
    SettingsParser parser { "agent_fan_in", "Measures the load of agents on an entry." };
    parser.addText("agents", "numbers of agents, separated by commas", "11,100,400,1000");
    parser.addNumber("interval-ms", "heartbeat interval, ms", 500, 100, 60000);
    parser.addNumber("windows", "measurements per size", 3, 1, 20);
    parser.addNumber("window-ms", "length of one measurement, ms", 4000, 500, 120000);
    parser.addNumber("restarts", "restarts of the entry per size", 3, 0, 20);
    parser.addNumber("base-port", "first of two ports to use", 18400, 1024, 65000);
    parser.parse(std::vector<std::string>(argv + 1, argv + argc));
    Settings settings;
    settings.sizes = parseSizes(parser.required("agents"));
    settings.interval = milliseconds { parser.number("interval-ms") };
    settings.windows = parser.number("windows");
    settings.window = milliseconds { parser.number("window-ms") };
    settings.restarts = parser.number("restarts");
    const auto port = static_cast<std::uint16_t>(parser.number("base-port"));
    settings.http = { "127.0.0.1", port };
    settings.rpc = { "127.0.0.1", static_cast<std::uint16_t>(port + 1) };
    return settings;
}

}

int main(int argc, char** argv)
try {
    if (argc == 5 && std::string_view { argv[1] } == "entry")
        return runEntry(argv[2], argv[3], argv[4]);
    Benchmark benchmark { parseSettings(argc, argv) };
    benchmark.run();
    return 0;
} catch (const std::exception& error) {
    fmt::print(stderr, "agent_fan_in: {}\n", error.what());
    return 1;
}
