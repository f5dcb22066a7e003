#include "lycheespool/store/http_table.h"

#include "lycheespool/core/error.h"
#include "lycheespool/core/log.h"
#include "lycheespool/store/table_codec.h"

namespace lycheespool {

namespace {

std::string encodeQuery(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char it : text) {
        const auto byte = static_cast<unsigned char>(it);
        if (std::isalnum(byte) || it == '/' || it == '-' || it == '_' || it == '.') {
            encoded += it;
            continue;
        }
        encoded += '%';
        encoded += digits[byte / 16U];
        encoded += digits[byte % 16U];
    }
    return encoded;
}

HttpRequest makeRequest(std::string method, std::string target, std::string body = {})
{
    HttpRequest request;
    request.method = std::move(method);
    request.path = std::move(target);
    request.body = std::move(body);
    return request;
}

/*! @brief A read has no effect, so a lost answer is only a failed read. */
[[noreturn]] void throwReadFailure(const Error& error)
{
    throw Error { ErrorKind::unavailable, std::string { "table read failed: " } + error.what(), "retry later" };
}

}

HttpTable::HttpTable(const Address& address, Metrics& metrics)
    : m_client { address }
    , m_reads { metrics.counter("table_reads_total") }
    , m_writes { metrics.counter("table_writes_total") }
    , m_failures { metrics.counter("table_failures_total") }
    , m_latency { metrics.histogram("table_duration_ms") }
{
}

Awaitable<Row> HttpTable::get(std::string key)
{
    m_reads.add();
    try {
        const auto response = co_await send(makeRequest("GET", "/v1/row?key=" + encodeQuery(key)));
        co_return TableCodec::decodeRow(response.body);
    } catch (const Error& error) {
        throwReadFailure(error);
    }
}

Awaitable<Rows> HttpTable::list(std::string prefix)
{
    m_reads.add();
    try {
        const auto response = co_await send(makeRequest("GET", "/v1/rows?prefix=" + encodeQuery(prefix)));
        co_return TableCodec::decodeRows(response.body);
    } catch (const Error& error) {
        throwReadFailure(error);
    }
}

Awaitable<CommitResult> HttpTable::commit(Transaction transaction)
{
    m_writes.add();
    const auto response = co_await send(makeRequest("POST", "/v1/transactions", TableCodec::encode(transaction)));
    co_return TableCodec::decodeResult(response.body);
}

Awaitable<HttpResponse> HttpTable::send(HttpRequest request)
{
    const auto start = SteadyClock {}.now();
    if (!m_breaker.allow(start))
        throw Error { ErrorKind::unavailable, "table service does not answer", "retry later" };
    try {
        auto response = co_await m_client.send(std::move(request), timeout);
        if (response.status == 503)
            throw Error { ErrorKind::unavailable, "table service is down", "retry later" };
        if (response.status != 200)
            throw Error { ErrorKind::internal, "table service refused the operation: " + response.body,
                "check the versions of client and service" };
        if (m_breaker.isOpen())
            log(LogLevel::info, "table service answers again");
        m_breaker.succeed();
        m_latency.record(std::chrono::duration<double, std::milli> { SteadyClock {}.now() - start }.count());
        co_return response;
    } catch (const Error&) {
        m_failures.add();
        const bool wasOpen = m_breaker.isOpen();
        m_breaker.fail(SteadyClock {}.now());
        if (!wasOpen && m_breaker.isOpen())
            log(LogLevel::warning, "table service does not answer, operations fail fast");
        throw;
    }
}

}
