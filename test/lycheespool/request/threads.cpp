#include "lycheespool/request/request_path.h"
#include "lycheespool/store/emulated_table.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <thread>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

/*! @brief Answers every request with its body, on the calling thread. */
struct EchoDispatcher {
    [[nodiscard]] Awaitable<ExecuteReply> execute(ExecutorNodePtr node, Execute message, Duration)
    {
        co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
        ExecuteReply reply;
        reply.request = message.request;
        reply.incarnation = message.incarnation;
        reply.outcome = Outcome::done;
        reply.status = 200;
        reply.slotsFree = node->slots;
        reply.body = std::move(message.body);
        co_return reply;
    }

    [[nodiscard]] Awaitable<InquireReply> inquire(ExecutorNodePtr node, Inquire, Duration)
    {
        InquireReply reply;
        reply.incarnation = node->incarnation;
        co_return reply;
    }
};

void join(Membership& membership, std::size_t index)
{
    Hello hello;
    hello.agent = AgentId { fmt::format("agent-{}", index) };
    hello.slots = 4;
    // The announcement lies in the future, so that executors do not time out on a slow test machine.
    membership.join(hello, nullptr, SteadyClock {}.now() + 1h);
}

}

// Guards against data races and mixed-up answers when several threads use one request path while executors join and
// zones change.
TEST_CASE("several threads use one request path")
{
    Metrics metrics;
    MemoryTable rows;
    TableFaults faults;
    EmulatedTable table { rows, faults };
    Membership membership;
    for (std::size_t i = 0; i < 4; ++i)
        join(membership, i);
    RequestPath<EmulatedTable, EchoDispatcher> path { EntryId { "entry" }, ZoneId { "zone" }, table, membership,
        metrics };
    std::atomic<unsigned> correct { 0 };
    const auto request = [&](std::string name, bool idempotent) -> Awaitable<> {
        ClientRequest message;
        message.workspace = WorkspaceId { "w" };
        message.key = RequestKey { name };
        message.idempotent = idempotent;
        message.timeout = 1h;
        message.body = name;
        const auto answer = co_await path.execute(std::move(message));
        if (answer.outcome == Outcome::done && answer.body == name)
            correct.fetch_add(1);
    };
    {
        std::vector<std::jthread> threads;
        for (int t = 0; t < 4; ++t) {
            threads.emplace_back([&, t] {
                asio::io_context context;
                for (int i = 0; i < 60; ++i)
                    asio::co_spawn(context, request(fmt::format("{}-{}", t, i), i % 2 == 0), asio::detached);
                context.run();
            });
        }
        for (std::size_t i = 0; i < 20; ++i) {
            join(membership, 4 + i % 2);
            path.setZonesOut({ ZoneId { fmt::format("other-{}", i) } });
        }
    }
    CHECK(correct == 240);
    CHECK(rows.list("claim/w/").size() == 120);
}
