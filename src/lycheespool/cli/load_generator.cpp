#include "lycheespool/cli/load_generator.h"

#include "lycheespool/core/error.h"
#include "lycheespool/net/http_client.h"
#include "lycheespool/net/io_pool.h"
#include "lycheespool/net/sleep.h"

#include <fmt/format.h>

#include <algorithm>
#include <future>
#include <vector>

namespace lycheespool {

namespace {

constexpr Duration requestTimeout = std::chrono::seconds { 30 };

struct Samples {
    LoadReport counts;
    std::vector<double> latenciesUs;
};

HttpRequest makeRequest(const LoadSettings& settings, std::size_t connection, std::uint64_t number)
{
    HttpRequest request;
    request.method = "POST";
    request.path = settings.path;
    request.body = fmt::format("{}-{}", connection, number);
    if (request.body.size() < settings.bodyBytes)
        request.body.resize(settings.bodyBytes, '.');
    if (settings.sendKeys)
        request.fields.emplace_back("Idempotency-Key", fmt::format("load-{}-{}", connection, number));
    return request;
}

void countResponse(Samples& samples, const HttpResponse& response, const std::string& body)
{
    const auto outcome = response.field("Lycheespool-Outcome");
    if (response.status == 200) {
        ++samples.counts.done;
        if (response.body != body)
            ++samples.counts.mismatched;
    } else if (outcome == "not-run") {
        ++samples.counts.notRun;
    } else if (outcome == "unknown") {
        ++samples.counts.unknown;
    } else {
        ++samples.counts.failed;
    }
}

/*! @brief Time between two requests of one connection; zero if each request follows the last response at once. */
Duration intervalOf(const LoadSettings& settings)
{
    if (settings.rate == 0)
        return {};
    const auto seconds = static_cast<double>(settings.connections) / static_cast<double>(settings.rate);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double> { seconds });
}

Awaitable<Samples> runConnection(const LoadSettings& settings, std::size_t index, TimePoint start)
{
    HttpClient client { settings.target };
    Samples samples;
    const auto interval = intervalOf(settings);
    auto due = start + interval * static_cast<int>(index) / static_cast<int>(settings.connections);
    for (std::uint64_t number = 0; due < start + settings.duration; ++number) {
        const auto now = SteadyClock {}.now();
        if (settings.rate == 0)
            due = now;
        else if (due > now)
            co_await sleepFor(due - now);
        auto request = makeRequest(settings, index, number);
        const auto body = request.body;
        ++samples.counts.sent;
        try {
            const auto response = co_await client.send(std::move(request), requestTimeout);
            countResponse(samples, response, body);
        } catch (const Error&) {
            ++samples.counts.failed;
        }
        const auto elapsed = SteadyClock {}.now() - due;
        samples.latenciesUs.push_back(std::chrono::duration<double, std::micro> { elapsed }.count());
        due += interval;
        if (settings.rate == 0)
            due = SteadyClock {}.now();
    }
    co_return samples;
}

void merge(Samples& total, const Samples& part)
{
    total.counts.sent += part.counts.sent;
    total.counts.done += part.counts.done;
    total.counts.notRun += part.counts.notRun;
    total.counts.unknown += part.counts.unknown;
    total.counts.failed += part.counts.failed;
    total.counts.mismatched += part.counts.mismatched;
    total.latenciesUs.insert(total.latenciesUs.end(), part.latenciesUs.begin(), part.latenciesUs.end());
}

double quantile(const std::vector<double>& sorted, double probability)
{
    if (sorted.empty())
        return 0;
    const auto index = static_cast<std::size_t>(probability * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

}

LoadReport runLoadGenerator(const LoadSettings& settings)
{
    IoPool pool { settings.threads };
    const auto start = SteadyClock {}.now();
    std::vector<std::future<Samples>> parts;
    parts.reserve(settings.connections);
    for (std::size_t i = 0; i < settings.connections; ++i)
        parts.push_back(asio::co_spawn(pool.next(), runConnection(settings, i, start), asio::use_future));
    Samples total;
    for (auto& it : parts)
        merge(total, it.get());
    const std::chrono::duration<double> elapsed = SteadyClock {}.now() - start;
    std::ranges::sort(total.latenciesUs);
    auto report = total.counts;
    report.rate = static_cast<double>(report.done) / elapsed.count();
    report.p50Us = quantile(total.latenciesUs, 0.5);
    report.p99Us = quantile(total.latenciesUs, 0.99);
    report.p999Us = quantile(total.latenciesUs, 0.999);
    report.maxUs = total.latenciesUs.empty() ? 0 : total.latenciesUs.back();
    return report;
}

}
