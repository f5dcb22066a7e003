// Compares routing policies of the request path in a discrete-event simulation: the production RequestPath runs in
// virtual time against simulated executors. Prints Markdown tables; the figures describe the simulation, not a running
// system.

#include "lycheespool/request/manual_timing.h"
#include "lycheespool/request/power_of_two.h"
#include "lycheespool/request/request_path.h"
#include "lycheespool/request/round_robin.h"
#include "lycheespool/store/emulated_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t executorCount = 11;
constexpr std::uint32_t slotsPerExecutor = 8;
constexpr Duration meanServiceTime = 50ms;
constexpr Duration clientTimeout = 1s;
constexpr Duration networkDelay = 500us;
// Excluded from the measurement; long enough for the averages of latency and failures to settle.
constexpr Duration warmUp = 3s;
constexpr Duration measuredTime = 10s;
constexpr double slowdown = 10;
constexpr std::array<unsigned, 5> seeds { 1, 2, 3, 4, 5 };
constexpr std::array<double, 4> loads { 0.5, 1, 2, 5 };

/*! @brief Executors that are slow or fail. */
struct Scenario {
    std::string name;
    bool oneSlow { false };
    bool oneFailing { false };

    /*! @brief Requests per second that the executors can serve. */
    [[nodiscard]] double capacity() const
    {
        const double each = slotsPerExecutor / std::chrono::duration<double> { meanServiceTime }.count();
        const double healthy = static_cast<double>(executorCount) - (oneSlow ? 1 : 0) - (oneFailing ? 1 : 0);
        return each * (healthy + (oneSlow ? 1 / slowdown : 0));
    }
};

/*! @brief Simulated agents and executors; a model of Dispatcher. */
class SimulatedExecutors {
public:
    SimulatedExecutors(ManualTiming timing, Scenario scenario, unsigned seed)
        : m_timing { std::move(timing) }
        , m_scenario { std::move(scenario) }
        , m_random { std::make_shared<std::mt19937>(seed) }
    {
    }

    [[nodiscard]] Awaitable<ExecuteReply> execute(ExecutorNodePtr node, Execute message, Duration timeout)
    {
        ExecuteReply reply;
        reply.request = message.request;
        reply.incarnation = message.incarnation;
        reply.slotsFree = node->slots;
        reply.outcome = Outcome::notRun;
        ManualTiming::Timer timer { m_timing, co_await asio::this_coro::executor };
        (void)co_await timer.wait(networkDelay * 2);
        if (m_scenario.oneFailing && node->incarnation == Incarnation { 1 })
            co_return reply;
        const auto service = drawServiceTime(m_scenario.oneSlow && node->incarnation == Incarnation { 2 });
        (void)co_await timer.wait(std::min(service, timeout));
        if (service > timeout)
            throw Error { ErrorKind::outcomeUnknown, "no reply", "retry" };
        reply.outcome = Outcome::done;
        reply.status = 200;
        co_return reply;
    }

    [[nodiscard]] Awaitable<InquireReply> inquire(ExecutorNodePtr, Inquire, Duration)
    {
        throw Error { ErrorKind::unavailable, "not simulated", "use idempotent requests" };
        co_return InquireReply {};
    }

private:
    Duration drawServiceTime(bool slow)
    {
        std::exponential_distribution<double> length { 1 };
        const auto factor = length(*m_random) * (slow ? slowdown : 1);
        return Duration { static_cast<Duration::rep>(
            factor * static_cast<double>(Duration { meanServiceTime }.count())) };
    }

    ManualTiming m_timing;
    Scenario m_scenario;
    std::shared_ptr<std::mt19937> m_random;
};

/*! @brief Results of one run. */
struct RunResult {
    double goodput { 0 };
    double p50 { 0 };
    double p99 { 0 };
    double p999 { 0 };
    double amplification { 0 };
    double failed { 0 };
    double shed { 0 };
};

/*! @brief Simulation of one run: clients with independent arrivals, one entry, all executors. */
template <typename Policy>
class Simulation {
public:
    Simulation(const Scenario& scenario, double load, unsigned seed)
        : m_executors { m_timing, scenario, seed }
        , m_random { seed + 1000 }
        , m_rate { load * scenario.capacity() }
        , m_capacity { scenario.capacity() }
        , m_path { EntryId { "entry" }, ZoneId { "zone-0" }, m_table, m_membership, m_metrics, m_executors, m_timing }
    {
        for (std::size_t i = 0; i < executorCount; ++i)
            join(i);
    }

    RunResult run()
    {
        asio::co_spawn(m_context, arrive(), asio::detached);
        asio::co_spawn(m_context, sendHeartbeats(), asio::detached);
        while (m_timing.now() < TimePoint { warmUp + measuredTime }) {
            m_context.restart();
            m_context.poll();
            m_timing.advanceToNext();
        }
        return summarise();
    }

private:
    void join(std::size_t index)
    {
        Hello hello;
        hello.agent = AgentId { fmt::format("agent-{}", index) };
        hello.incarnation = Incarnation { index };
        hello.zone = ZoneId { fmt::format("zone-{}", index % 3) };
        hello.slots = slotsPerExecutor;
        m_membership.join(hello, nullptr, m_timing.now());
    }

    Awaitable<> sendHeartbeats()
    {
        ManualTiming::Timer timer { m_timing, co_await asio::this_coro::executor };
        while (co_await timer.wait(500ms)) {
            for (const auto& it : *m_membership.nodes().load())
                it->lastHeartbeatAt = m_timing.now().time_since_epoch().count();
        }
    }

    Awaitable<> arrive()
    {
        const auto executor = co_await asio::this_coro::executor;
        ManualTiming::Timer timer { m_timing, executor };
        std::exponential_distribution<double> gap { m_rate };
        while (true) {
            const auto seconds = std::chrono::duration<double> { gap(m_random) };
            (void)co_await timer.wait(std::chrono::duration_cast<Duration>(seconds));
            asio::co_spawn(executor, request(), asio::detached);
        }
    }

    Awaitable<> request()
    {
        ClientRequest request;
        request.workspace = WorkspaceId { fmt::format("workspace-{}", m_random() % 4) };
        request.timeout = clientTimeout;
        const auto start = m_timing.now();
        const auto answer = co_await m_path.execute(std::move(request));
        if (m_timing.now() < TimePoint { warmUp })
            co_return;
        if (answer.outcome == Outcome::done)
            m_latencies.push_back(std::chrono::duration<double, std::milli> { m_timing.now() - start }.count());
        else if (answer.reason.find("agent") != std::string::npos || answer.outcome == Outcome::unknown)
            ++m_failed;
        else
            ++m_shed;
    }

    double quantile(double share)
    {
        if (m_latencies.empty())
            return 0;
        const auto last = static_cast<double>(m_latencies.size() - 1);
        const auto it = m_latencies.begin() + static_cast<std::ptrdiff_t>(share * last);
        std::ranges::nth_element(m_latencies, it);
        return *it;
    }

    RunResult summarise()
    {
        const auto seconds = std::chrono::duration<double> { measuredTime }.count();
        const auto answered = static_cast<double>(m_latencies.size()) + m_failed + m_shed;
        const auto dispatched = static_cast<double>(m_metrics.counter("requests_dispatched_total").value());
        const auto retried = static_cast<double>(m_metrics.counter("requests_retried_total").value());
        RunResult result;
        result.goodput = static_cast<double>(m_latencies.size()) / seconds / m_capacity;
        result.p50 = quantile(0.5);
        result.p99 = quantile(0.99);
        result.p999 = quantile(0.999);
        result.amplification = dispatched / (dispatched - retried);
        result.failed = m_failed / answered;
        result.shed = m_shed / answered;
        return result;
    }

    ManualTiming m_timing;
    SimulatedExecutors m_executors;
    std::mt19937 m_random;
    double m_rate;
    double m_capacity;
    MemoryTable m_rows;
    TableFaults m_faults;
    EmulatedTable m_table { m_rows, m_faults };
    Metrics m_metrics;
    Membership m_membership;
    RequestPath<EmulatedTable, SimulatedExecutors, Policy, ManualTiming> m_path;
    std::vector<double> m_latencies;
    double m_failed { 0 };
    double m_shed { 0 };
    asio::io_context m_context;
};

/*! @brief Formats the median and range of one figure over the seeds. */
std::string spread(const std::vector<RunResult>& runs, double RunResult::*field, int digits)
{
    std::vector<double> values(runs.size());
    std::ranges::transform(runs, values.begin(), field);
    std::ranges::sort(values);
    return fmt::format(
        "{:.{}f} ({:.{}f}-{:.{}f})", values[values.size() / 2], digits, values.front(), digits, values.back(), digits);
}

template <typename Policy>
void measure(const std::string& policy, const Scenario& scenario, double load)
{
    std::vector<RunResult> runs;
    for (const auto seed : seeds) {
        auto simulation = std::make_unique<Simulation<Policy>>(scenario, load, seed);
        runs.push_back(simulation->run());
    }
    fmt::print("| {} | {}x | {} | {} | {} | {} | {} | {} | {} |\n", policy, load, spread(runs, &RunResult::goodput, 3),
        spread(runs, &RunResult::failed, 4), spread(runs, &RunResult::shed, 3), spread(runs, &RunResult::p50, 0),
        spread(runs, &RunResult::p99, 0), spread(runs, &RunResult::p999, 0),
        spread(runs, &RunResult::amplification, 3));
}

}

int main()
{
    const std::vector<Scenario> scenarios { { "all healthy", false, false }, { "one executor 10x slow", true, false },
        { "one executor failing at once", false, true }, { "one slow and one failing", true, true } };
    for (const auto& scenario : scenarios) {
        fmt::print("\n{} (capacity {:.0f} requests/s)\n\n", scenario.name, scenario.capacity());
        fmt::print("| policy | load | goodput / capacity | failed | shed | p50 ms | p99 ms | p99.9 ms | dispatches per "
                   "request |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for (const auto load : loads) {
            measure<RoundRobin>("RoundRobin", scenario, load);
            measure<PowerOfTwo<std::minstd_rand>>("PowerOfTwo", scenario, load);
        }
    }
}
