#include "lycheespool/nodeagent/node_agent.h"

#include "lycheespool/store/fake_row_store.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

/*! @brief An address at which one executor answers. */
struct FakeControl {
    Lifetime present;
    /*! @brief No call is answered. */
    bool isSilent { false };
    /*! @brief Lifetime that the latest call named. */
    Lifetime called;
    std::size_t calls { 0 };
    /*! @brief Time for which the latest call for the lists may wait, ms. */
    std::int64_t waitMs { 0 };

    [[nodiscard]] ExecutorAnswer answerTo(const Lifetime& lifetime)
    {
        called = lifetime;
        ++calls;
        ExecutorAnswer answer;
        if (isSilent)
            return answer;
        answer.kind
            = lifetime.executor == present.executor ? ExecutorAnswerKind::accepted : ExecutorAnswerKind::wrongLifetime;
        answer.clockMs = 1000;
        answer.startedUnixMs = present.startedUnixMs;
        return answer;
    }
    [[nodiscard]] Awaitable<ExecutorAnswer> start(RunStart start, Duration) { co_return answerTo(start.lifetime); }
    [[nodiscard]] Awaitable<ExecutorAnswer> stop(RunStop stop, Duration) { co_return answerTo(stop.lifetime); }
    [[nodiscard]] Awaitable<HoldAnswer> hold(HoldRequest request, Duration)
    {
        waitMs = request.waitMs;
        co_await sleepFor(5ms);
        co_return HoldAnswer { answerTo(request.lifetime), {}, {} };
    }
};

/*! @brief An agent with one executor, which has answered. */
class AgentFixture {
public:
    AgentFixture()
    {
        control.present = sound;
        m_agent->start();
        announce(sound);
    }

    void announce(const Lifetime& lifetime, const std::string& service = "service", Duration time = 400ms,
        ExecutorState state = ExecutorState::ready)
    {
        ExecutorAnnouncement announcement;
        announcement.lifetime = lifetime;
        announcement.sequence = ++m_sequence;
        announcement.service = service;
        announcement.state = state;
        m_agent->onAnnouncement(announcement);
        runFor(time);
    }

    void depart(const std::string& executor) { m_agent->onDeparture(executor); }

    void runFor(Duration time)
    {
        m_context.restart();
        m_context.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(time));
    }

    /*! @brief Checks if the agent still calls its executor, which it does every 200 ms or more often here. */
    bool callsExecutor()
    {
        runFor(50ms);
        const auto before = control.calls;
        runFor(500ms);
        return control.calls > before;
    }

    const Lifetime sound { "i-sound", unixMillis() - 5000 };
    const Lifetime foreign { "i-foreign", unixMillis() };
    FakeControl control;

private:
    FakeRows m_rows;
    FakeRowStore m_store { m_rows };
    Metrics m_metrics;
    std::uint64_t m_sequence { 0 };
    asio::io_context m_context;
    std::shared_ptr<NodeAgent<FakeRowStore, FakeControl>> m_agent {
        std::make_shared<NodeAgent<FakeRowStore, FakeControl>>(
            m_context.get_executor(), NodeSettings {}, m_store, control, RowNames {}, m_metrics)
    };
};

}

TEST_CASE("an announcement of another writer does not take the place of a sound executor")
{
    AgentFixture f;
    f.announce(f.foreign, "of others");
    CHECK((f.control.called == f.sound));
}

TEST_CASE("an announcement of another writer does not take the place of an executor that is cut off for a while")
{
    AgentFixture f;
    f.control.isSilent = true;
    f.announce(f.foreign, "of others");
    f.control.isSilent = false;
    f.announce(f.sound);
    CHECK((f.control.called == f.sound));
}

TEST_CASE("an executor that restarted is adopted under its new id, and under its old one")
{
    for (const auto* const id : { "i-next", "i-sound" }) {
        CAPTURE(id);
        AgentFixture f;
        f.control.present = { id, unixMillis() };
        f.announce(f.control.present);
        CHECK((f.control.called == f.control.present));
    }
}

TEST_CASE("a foreign announcement does not keep out an executor that started before it")
{
    AgentFixture f;
    f.control.present = { "i-next", f.foreign.startedUnixMs - 1000 };
    f.announce(f.foreign, "of others");
    f.announce(f.control.present);
    CHECK((f.control.called == f.control.present));
}

// Guards against an executor that is ignored until its agent restarts, after the clock of its VM was set back.
TEST_CASE("an executor that restarted with an earlier start time is adopted")
{
    for (const auto* const id : { "i-next", "i-sound" }) {
        CAPTURE(id);
        AgentFixture f;
        f.control.present = { id, f.sound.startedUnixMs - 60000 };
        f.announce(f.control.present);
        CHECK((f.control.called == f.control.present));
    }
}

TEST_CASE("a late announcement of a former lifetime does not take the place of a sound executor")
{
    AgentFixture f;
    for (const auto* const id : { "i-former", "i-sound" }) {
        CAPTURE(id);
        f.announce({ id, f.sound.startedUnixMs - 60000 });
        CHECK((f.control.called == f.sound));
    }
}

// Guards against a present executor that is taken for gone, and its runs for lost, because a departure of a former
// lifetime with the same id arrives late (TWICE).
TEST_CASE("a departure that the executor has not announced is ignored")
{
    AgentFixture f;
    f.depart(f.sound.executor);
    CHECK(f.callsExecutor());
    f.announce(f.sound, "service", 50ms, ExecutorState::draining);
    f.depart(f.sound.executor);
    CHECK_FALSE(f.callsExecutor());
}

// Guards against runs that are given up because each call to an executor with lost answers took 1.6 s.
TEST_CASE("an executor that does not answer is asked for its lists without a wait until it answers again")
{
    AgentFixture f;
    f.runFor(50ms);
    CHECK(f.control.waitMs > 0);
    f.control.isSilent = true;
    f.runFor(500ms);
    CHECK(f.control.waitMs == 0);
    f.control.isSilent = false;
    f.runFor(500ms);
    CHECK(f.control.waitMs > 0);
}
