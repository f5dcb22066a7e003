#include "lycheespool/emulator/table_service.h"

#include "lycheespool/core/error.h"
#include "lycheespool/core/log.h"
#include "lycheespool/net/sleep.h"
#include "lycheespool/store/table_codec.h"

#include <nlohmann/json.hpp>

namespace lycheespool {

namespace {

constexpr std::string_view objectPrefix = "/v1/objects/";

HttpResponse jsonResponse(std::string body)
{
    HttpResponse response;
    response.body = std::move(body);
    return response;
}

}

TableService::TableService(IoPool& pool, const Address& address, Metrics& metrics)
    : m_reads { metrics.counter("emulated_table_reads_total") }
    , m_writes { metrics.counter("emulated_table_writes_total") }
    , m_server { pool, address, metrics, [this](HttpRequest request) { return handle(std::move(request)); } }
{
}

Awaitable<HttpResponse> TableService::handle(HttpRequest request)
{
    if (request.path == "/v1/faults")
        co_return setFaults(request);
    if (const auto delay = m_faults.delayMs.load(); delay > 0)
        co_await sleepFor(std::chrono::milliseconds { delay });
    if (m_faults.down)
        throw Error { ErrorKind::unavailable, "table service is down", "retry later" };
    if (request.path == "/v1/transactions")
        co_return commit(request);
    if (request.path.starts_with(objectPrefix))
        co_return handleObject(request);
    m_reads.add();
    if (request.path == "/v1/row")
        co_return jsonResponse(TableCodec::encode(m_rows.get(std::string { request.parameter("key") })));
    if (request.path == "/v1/rows")
        co_return jsonResponse(TableCodec::encode(m_rows.list(request.parameter("prefix"))));
    throw Error { ErrorKind::notFound, "unknown path " + request.path, "see docs/emulators.md for the paths" };
}

HttpResponse TableService::commit(const HttpRequest& request)
{
    m_writes.add();
    const auto result = m_rows.commit(TableCodec::decodeTransaction(request.body));
    auto response = jsonResponse(TableCodec::encode(result));
    response.dropConnection = m_faults.takeLostAnswer();
    return response;
}

HttpResponse TableService::setFaults(const HttpRequest& request)
{
    const auto faults = nlohmann::json::parse(request.body, nullptr, false);
    if (!faults.is_object())
        throw Error { ErrorKind::invalidArgument, "faults are not a JSON object", "send {\"down\": true}" };
    m_faults.down = faults.value("down", m_faults.down.load());
    m_faults.delayMs = faults.value("delayMs", m_faults.delayMs.load());
    m_faults.loseAnswers = faults.value("loseAnswers", m_faults.loseAnswers.load());
    log(LogLevel::info, "table faults: {}", faults.dump());
    return jsonResponse("{}");
}

HttpResponse TableService::handleObject(const HttpRequest& request)
{
    const auto key = request.path.substr(objectPrefix.size());
    if (request.method == "PUT") {
        m_writes.add();
        m_objects.put(key, request.body);
        return jsonResponse("{}");
    }
    m_reads.add();
    auto content = m_objects.get(key);
    if (!content)
        throw Error { ErrorKind::notFound, "no object " + key, "check the key" };
    auto response = jsonResponse(std::move(*content));
    response.contentType = "application/octet-stream";
    return response;
}

}
