#include "lycheespool/nodeagent/verified_connections.h"

#include "lycheespool/nodeagent/fake_executor_host.h"

#include <doctest/doctest.h>

#include <optional>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t startedUnixMs = 1000;

/*! @brief Connections to an executor, with calls that wait for their answers. */
class Fixture {
public:
    Fixture() { host.startProcess(startedUnixMs, AcknowledgementReading::atCall); }

    HoldAnswer hold(std::uint64_t endsSeen = 0)
    {
        HoldRequest request;
        request.lifetime = lifetime;
        request.endsSeen = endsSeen;
        return await(m_connections.hold(std::move(request), timeout));
    }

    ExecutorAnswer start(std::optional<TimePoint> sendBefore = {})
    {
        return await(m_connections.start(startRequest(sendBefore), timeout));
    }

    /*! @brief Starts a run while another call is sent and answered. */
    ExecutorAnswer startBesideHold()
    {
        auto call = asio::co_spawn(m_context, m_connections.start(startRequest({}), timeout), asio::use_future);
        (void)hold();
        return call.get();
    }

    /*! @brief Opens connections by calls at the same time. */
    void openConnections(std::size_t count)
    {
        for (std::size_t i = 1; i < count; ++i)
            asio::co_spawn(m_context, m_connections.start(startRequest({}), timeout), asio::detached);
        (void)hold();
    }

    Duration timeout { 50ms };
    FakeExecutorHost host;
    Lifetime lifetime { "executor", startedUnixMs };

private:
    [[nodiscard]] RunStart startRequest(std::optional<TimePoint> sendBefore) const
    {
        RunStart request;
        request.sendBefore = sendBefore;
        request.lifetime = lifetime;
        request.task = "job.0.0.0";
        request.run = 1;
        return request;
    }

    template <typename Answer>
    Answer await(Awaitable<Answer> call)
    {
        auto answer = asio::co_spawn(m_context, std::move(call), asio::use_future);
        m_context.restart();
        m_context.run();
        return answer.get();
    }

    Metrics m_metrics;
    asio::io_context m_context;
    VerifiedConnections<FakeExecutorHost> m_connections { host, m_metrics };
};

}

TEST_CASE("a connection is verified once, by a call that changes nothing at the executor")
{
    Fixture f;
    const auto first = f.hold(3);
    CHECK(first.answer.kind == ExecutorAnswerKind::accepted);
    CHECK(first.isVerification);
    CHECK_FALSE(f.hold(3).isVerification);
    CHECK(f.start().kind == ExecutorAnswerKind::accepted);
    CHECK(f.host.connections == 1);
    const auto& holds = f.host.present->holds;
    REQUIRE(holds.size() == 2);
    CHECK(holds.front().endsSeen == 0);
    CHECK(holds.front().waitMs == 0);
    CHECK_FALSE(holds.front().leaseEndMs.has_value());
    CHECK(holds.back().endsSeen == 3);
}

// Guards against calls that another lifetime executes before its answer shows the mistake.
TEST_CASE("a call for another lifetime than the one that answers is not sent")
{
    Fixture f;
    f.lifetime.startedUnixMs += 1;
    CHECK(f.start().kind == ExecutorAnswerKind::wrongLifetime);
    const auto list = f.hold(3);
    CHECK(list.answer.kind == ExecutorAnswerKind::wrongLifetime);
    CHECK(list.answer.startedUnixMs == startedUnixMs);
    CHECK(list.isVerification);
    CHECK(f.host.present->starts.empty());
    CHECK(f.host.present->highestAcknowledged == 0);
}

// Guards against connections to a former lifetime that carry calls for the present one.
TEST_CASE("connections to a former lifetime are not used for the next one")
{
    Fixture f;
    REQUIRE(f.start().kind == ExecutorAnswerKind::accepted);
    f.lifetime.startedUnixMs += 1;
    REQUIRE(f.start().kind == ExecutorAnswerKind::wrongLifetime);
    CHECK(f.host.connections == 2);
}

// Guards against starts that are counted as possibly executed, and tasks that wait for them, although only the
// verification call was sent.
TEST_CASE("a call whose connection cannot be verified was not executed")
{
    Fixture f;
    SUBCASE("no answer") { f.host.isMute = true; }
    SUBCASE("no lifetime in the answer") { f.host.namesLifetime = false; }
    SUBCASE("the connection ends with the answer") { f.host.endsConnections = true; }
    CHECK(f.start().kind == ExecutorAnswerKind::unavailable);
    CHECK(f.host.present->starts.empty());
}

TEST_CASE("an executor that cannot be reached has executed nothing")
{
    Fixture f;
    f.host.present.reset();
    CHECK(f.start().kind == ExecutorAnswerKind::unavailable);
    CHECK(f.hold().answer.kind == ExecutorAnswerKind::unavailable);
}

// Guards against calls that time out one after another on connections that have fallen silent together.
TEST_CASE("an unanswered call takes the idle connections with it")
{
    Fixture f;
    REQUIRE(f.start().kind == ExecutorAnswerKind::accepted);
    f.host.silenceConnections();
    CHECK(f.start().kind == ExecutorAnswerKind::unanswered);
    CHECK(f.start().kind == ExecutorAnswerKind::accepted);
    CHECK(f.host.connections == 2);
}

// Guards against connections that are verified anew, and starts that wait for it, after each call that one executor
// leaves unanswered.
TEST_CASE("an unanswered call keeps the idle connections if an older one was answered since")
{
    Fixture f;
    f.openConnections(2);
    REQUIRE(f.host.connections == 2);
    f.host.present->unansweredStarts = 1;
    CHECK(f.startBesideHold().kind == ExecutorAnswerKind::unanswered);
    CHECK(f.start().kind == ExecutorAnswerKind::accepted);
    CHECK(f.host.connections == 2);
}

// Guards against a start that is taken for a success although a later lifetime answered on the same connection.
TEST_CASE("an answer of another lifetime on a verified connection is no success")
{
    Fixture f;
    REQUIRE(f.start().kind == ExecutorAnswerKind::accepted);
    f.host.present->startedUnixMs += 1;
    CHECK(f.start().kind == ExecutorAnswerKind::unanswered);
    CHECK(f.start().kind == ExecutorAnswerKind::wrongLifetime);
}

// Guards against starts that are refused for 0.7 s or more because one verification call was left unanswered.
TEST_CASE("an unanswered verification call is repeated on a new connection")
{
    Fixture f;
    f.timeout = 2s;
    f.host.muteConnections = 2;
    const auto begin = BootClock {}.now();
    CHECK(f.start().kind == ExecutorAnswerKind::accepted);
    CHECK(BootClock {}.now() - begin < VerifiedConnections<FakeExecutorHost>::maxVerificationTime);
    CHECK(f.host.connections == 3);
}

// Guards against a start of a cancelled job or a drained zone that was decided in time and sent too late.
TEST_CASE("a start whose decision expires while the connection is verified is not sent")
{
    Fixture f;
    CHECK(f.start(BootClock {}.now() - 1ms).kind == ExecutorAnswerKind::unavailable);
    CHECK(f.host.present->starts.empty());
    CHECK(f.start(BootClock {}.now() + 10s).kind == ExecutorAnswerKind::accepted);
    CHECK(f.host.connections == 1);
}

// Guards against thousands of connections within a second to an executor that accepts and resets them.
TEST_CASE("attempts to verify a connection are limited in number")
{
    Fixture f;
    f.timeout = 2s;
    f.host.present->isUp = false;
    CHECK(f.start().kind == ExecutorAnswerKind::unavailable);
    CHECK(f.host.connections == VerifiedConnections<FakeExecutorHost>::maxVerificationAttempts);
}
