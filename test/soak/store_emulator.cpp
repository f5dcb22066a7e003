#include "soak/store_emulator.h"

#include "soak/emulator_faults.h"
#include "soak/soak_bounds.h"

#include "lycheespool/cluster/row_names.h"
#include "lycheespool/controller/lease_row.h"
#include "lycheespool/core/boot_clock.h"
#include "lycheespool/workload/job_progress.h"

#include <boost/beast/core/detail/base64.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>

namespace lycheespool::soak {

namespace {

namespace base64 = boost::beast::detail::base64;

constexpr std::size_t rowsPerPage = 500;
// Longer than the time-outs of all clients of the store.
constexpr Duration silentTime = 60s;

std::string encode(const std::string& bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string decode(const std::string& text)
{
    std::string bytes(base64::decoded_size(text.size()), '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

RowName nameOf(const nlohmann::json& json)
{
    return { json.at("table").get<std::string>(), json.value("part", std::string {}),
        json.at("key").get<std::string>() };
}

nlohmann::json toJson(const StoredRow& row)
{
    nlohmann::json json { { "table", row.name.table }, { "part", row.name.partition }, { "key", row.name.key },
        { "rowVersion", row.version } };
    if (row.isRemoved)
        json["deleted"] = true;
    else
        json["value"] = encode(row.value);
    return json;
}

RowTransaction toTransaction(const nlohmann::json& json)
{
    RowTransaction transaction;
    for (const auto& it : json.value("expectedRev", nlohmann::json::array()))
        transaction.conditions.push_back({ nameOf(it), it.value("rowVersion", std::uint64_t { 0 }) });
    for (const auto& it : json.value("setKeys", nlohmann::json::array()))
        transaction.writes.push_back({ nameOf(it), decode(it.value("value", std::string {})) });
    for (const auto& it : json.value("remove", nlohmann::json::array()))
        transaction.writes.push_back({ nameOf(it), std::nullopt });
    return transaction;
}

template <typename Rows>
HttpResponse rowsResponse(const Rows& rows, std::uint64_t version, bool hasMore = false, unsigned status = 200)
{
    nlohmann::json list = nlohmann::json::array();
    std::ranges::transform(rows, std::back_inserter(list), toJson);
    HttpResponse response;
    response.status = status;
    response.body = nlohmann::json { { "rows", list }, { "rowVersion", version }, { "hasMore", hasMore } }.dump();
    return response;
}

HttpResponse errorResponse(unsigned status)
{
    HttpResponse response;
    response.status = status;
    response.body = "{}";
    return response;
}

std::uint64_t numericParameter(const HttpRequest& request, std::string_view name)
{
    const auto text = request.parameter(name, "0");
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

}

StoreEmulator::StoreEmulator(IoPool& pool, const Address& address, const Address& agentAddress, std::uint64_t seed)
    : m_pool { pool }
    , m_random { seed }
    , m_server { pool, address, m_metrics, [this](HttpRequest request) { return serve(std::move(request), false); } }
    , m_agentServer { pool, agentAddress, m_metrics,
        [this](HttpRequest request) { return serve(std::move(request), true); } }
{
    m_server.start();
    m_agentServer.start();
}

Awaitable<> StoreEmulator::writeForOperator(std::string key, std::optional<std::string> value)
{
    RowTransaction transaction;
    transaction.writes.push_back({ { "op", "", std::move(key) }, std::move(value) });
    (void)co_await m_store.commit(std::move(transaction), Duration {});
}

Awaitable<HttpResponse> StoreEmulator::serve(HttpRequest request, bool isAgent)
{
    if (faults.isSilent) {
        co_await sleepFor(silentTime);
        co_return droppedResponse();
    }
    if (faults.isDown)
        co_return errorResponse(503);
    if (faults.delay > Duration {})
        co_await sleepFor(faults.delay);
    if (request.path == "/v1/rows-tx")
        co_return co_await commit(std::move(request));
    if (request.path == "/v1/rows-get")
        co_return co_await list(std::move(request), isAgent);
    if (request.path == "/v1/rows-feed")
        co_return co_await changes(std::move(request));
    co_return errorResponse(404);
}

Awaitable<HttpResponse> StoreEmulator::commit(HttpRequest request)
{
    auto transaction = toTransaction(nlohmann::json::parse(request.body));
    if (isAffected(m_random, faults.lateWrites)) {
        asio::co_spawn(m_pool.context(), commitLater(std::move(transaction)), asio::detached);
        co_return droppedResponse();
    }
    const auto result = co_await m_store.commit(std::move(transaction), Duration {});
    if (isAffected(m_random, faults.lostResponses))
        co_return droppedResponse();
    if (!result.isCommitted)
        co_return rowsResponse(result.current, m_rows.version, false, 412);
    co_return rowsResponse(std::vector<StoredRow> {}, result.version);
}

Awaitable<> StoreEmulator::commitLater(RowTransaction transaction)
{
    co_await sleepFor(randomLateDelay(m_random));
    (void)co_await m_store.commit(std::move(transaction), Duration {});
}

void StoreEmulator::redirectToProxy(StoredRow& lease) const
{
    auto value = unpackValue<LeaseRow>(lease.value);
    if (const auto it = m_leaderProxies.find(value.address); it != m_leaderProxies.end())
        value.address = it->second;
    lease.value = packValue(value);
}

Awaitable<HttpResponse> StoreEmulator::list(HttpRequest request, bool isAgent)
{
    RowRange range { std::string { request.parameter("table") }, std::string { request.parameter("part") },
        std::string { request.parameter("from") }, std::string { request.parameter("to") } };
    auto found = co_await m_store.list(std::move(range), Duration {});
    const bool hasMore = found.rows.size() > rowsPerPage;
    if (hasMore)
        found.rows.resize(rowsPerPage);
    const auto lease = std::ranges::find(found.rows, RowNames {}.lease(), &StoredRow::name);
    if (isAgent && lease != found.rows.end())
        redirectToProxy(*lease);
    co_return rowsResponse(found.rows, found.version, hasMore);
}

Awaitable<HttpResponse> StoreEmulator::changes(HttpRequest request)
{
    const std::string table { request.parameter("table") };
    const auto after = numericParameter(request, "after");
    const auto until = BootClock {}.now() + std::chrono::milliseconds { numericParameter(request, "waitMs") };
    while (true) {
        auto found = co_await m_store.changes(table, after, 5ms, Duration {});
        // A call that waits when the store goes down gets no response.
        if (faults.isDown || faults.isSilent)
            co_return droppedResponse();
        if (found.isHistoryLost)
            co_return errorResponse(410);
        if (!found.rows.empty() || BootClock {}.now() >= until)
            co_return rowsResponse(found.rows, found.version);
    }
}

}
