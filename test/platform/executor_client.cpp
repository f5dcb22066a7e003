#include "platform/executor_client.h"

#include "lycheespool/net/http_server.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace lycheespool;
using namespace lycheespool::platform;

namespace {

Awaitable<HoldAnswer> hold(ExecutorClient& client)
{
    const auto connection = co_await client.connect(std::chrono::seconds { 10 });
    if (!connection)
        co_return HoldAnswer {};
    HoldRequest request;
    co_return co_await connection->hold(std::move(request), std::chrono::seconds { 10 });
}

/*! @brief Returns how the client reads an answer of an executor. */
HoldAnswer holdWith(const nlohmann::json& body)
{
    Metrics metrics;
    IoPool pool { 1 };
    HttpServer server { pool, { "127.0.0.1", 0 }, metrics, [&](HttpRequest) -> Awaitable<HttpResponse> {
                           HttpResponse response;
                           response.body = body.dump();
                           co_return response;
                       } };
    server.start();
    // The client's connection uses the context and must end first.
    asio::io_context context;
    ExecutorClient client { server.address() };
    auto answer = asio::co_spawn(context, hold(client), asio::use_future);
    context.run();
    pool.stop();
    return answer.get();
}

nlohmann::json bodyWithEnds(std::size_t count)
{
    auto ended = nlohmann::json::array();
    for (std::size_t i = 1; i <= count; ++i)
        ended.push_back({ i, "job.0.0.0", i, "done", "" });
    return { { "running", nlohmann::json::array() }, { "ended", ended } };
}

}

// Guards against runs that are released because their ends did not fit into the answer.
TEST_CASE("an answer with as many ends as fit into it is a partial list")
{
    const auto whole = holdWith(bodyWithEnds(499));
    CHECK(whole.answer.kind == ExecutorAnswerKind::accepted);
    CHECK(whole.ended.size() == 499);
    CHECK(whole.extent == ListExtent::complete);
    CHECK(holdWith(bodyWithEnds(500)).extent == ListExtent::partial);
}

// Guards against runs that are released because an answer has no list at all.
TEST_CASE("an answer without one of its lists is not a complete list")
{
    for (const auto* const list : { "running", "ended" }) {
        auto body = bodyWithEnds(0);
        CHECK(holdWith(body).extent == ListExtent::complete);
        body.erase(list);
        CHECK(holdWith(body).extent == ListExtent::partial);
    }
}
