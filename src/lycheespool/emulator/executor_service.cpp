#include "lycheespool/emulator/executor_service.h"

#include "lycheespool/core/error.h"
#include "lycheespool/core/log.h"
#include "lycheespool/net/sleep.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lycheespool {

namespace {

HttpServerLimits limitsOf(const ExecutorServiceSettings& settings)
{
    HttpServerLimits limits;
    limits.connections = settings.connections;
    return limits;
}

}

ExecutorService::ExecutorService(IoPool& pool, ExecutorServiceSettings settings, Metrics& metrics)
    : m_settings { std::move(settings) }
    , m_server { pool, m_settings.address, metrics, [this](HttpRequest request) { return handle(std::move(request)); },
        limitsOf(m_settings) }
{
}

Awaitable<HttpResponse> ExecutorService::handle(HttpRequest request)
{
    if (request.path == "/v1/execute")
        return execute(std::move(request));
    return [](ExecutorService& self, HttpRequest other) -> Awaitable<HttpResponse> {
        if (other.path == "/v1/executions")
            co_return self.report();
        if (other.path == "/v1/faults")
            co_return self.setFaults(other);
        throw Error { ErrorKind::notFound, "unknown path " + other.path, "see docs/emulators.md for the paths" };
    }(*this, std::move(request));
}

Awaitable<HttpResponse> ExecutorService::execute(HttpRequest request)
{
    if (m_busy.fetch_add(1) >= m_settings.slots) {
        m_busy.fetch_sub(1);
        throw Error { ErrorKind::unavailable, "all slots are busy", "retry later" };
    }
    HttpResponse response;
    if (m_failAll) {
        response.status = 500;
    } else {
        countExecution(request);
        if (m_settings.serviceTime.count() > 0)
            co_await sleepFor(m_settings.serviceTime * m_slowFactor.load());
        response.body = std::move(request.body);
    }
    m_busy.fetch_sub(1);
    co_return response;
}

void ExecutorService::countExecution(const HttpRequest& request)
{
    m_total.fetch_add(1);
    const auto key = request.field("Idempotency-Key");
    if (key.empty())
        return;
    const std::scoped_lock lock { m_mutex };
    ++m_runsByKey[std::string { key }];
}

HttpResponse ExecutorService::report() const
{
    const std::scoped_lock lock { m_mutex };
    const auto duplicates = std::ranges::count_if(m_runsByKey, [](const auto& it) { return it.second > 1; });
    HttpResponse response;
    response.body = nlohmann::json {
        { "total", m_total.load() }, { "keys", m_runsByKey.size() }, { "duplicates", duplicates }
    }.dump();
    return response;
}

HttpResponse ExecutorService::setFaults(const HttpRequest& request)
{
    const auto faults = nlohmann::json::parse(request.body, nullptr, false);
    if (!faults.is_object())
        throw Error { ErrorKind::invalidArgument, "faults are not a JSON object", "send {\"failAll\": true}" };
    m_failAll = faults.value("failAll", m_failAll.load());
    m_slowFactor = faults.value("slowFactor", m_slowFactor.load());
    log(LogLevel::info, "executor faults: {}", faults.dump());
    HttpResponse response;
    response.body = "{}";
    return response;
}

}
