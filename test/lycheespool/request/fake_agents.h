#pragma once

#include "lycheespool/core/error.h"
#include "lycheespool/request/dispatcher.h"
#include "lycheespool/request/execution_ledger.h"
#include "lycheespool/request/manual_timing.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Fault injected into one Execute message. */
enum class Fault { none, notSent, dropped, replyLost, late, refused, slow, corrupted };

/*! @brief Fake agents and executors in virtual time; a model of Dispatcher. Copies share their state. */
class FakeAgents {
public:
    struct Agent {
        explicit Agent(Incarnation which)
            : incarnation { which }
            , ledger { which }
        {
        }
        Incarnation incarnation;
        ExecutionLedger ledger;
    };

    struct State {
        std::map<AgentId, std::shared_ptr<Agent>> agents;
        /*! @brief Faults of the next Execute messages; none if empty. */
        std::deque<Fault> faults;
        /*! @brief Number of runs by key, or by body for requests without a key. */
        std::map<std::string, unsigned> runs;
        std::vector<AgentId> ranOn;
        Duration runTime { std::chrono::milliseconds { 5 } };
    };

    FakeAgents(ManualTiming timing)
        : m_timing { std::move(timing) }
    {
    }

    [[nodiscard]] State& state() { return *m_state; }

    /*! @brief Starts an agent, or restarts it with an empty ledger. */
    void start(const AgentId& agent, Incarnation incarnation)
    {
        m_state->agents[agent] = std::make_shared<Agent>(incarnation);
    }

    [[nodiscard]] Awaitable<ExecuteReply> execute(ExecutorNodePtr node, Execute message, Duration timeout)
    {
        const auto fault = takeFault();
        if (fault == Fault::notSent)
            throw Error { ErrorKind::unavailable, "not sent", "choose another executor" };
        const auto executor = co_await asio::this_coro::executor;
        const auto pending = std::make_shared<Pending>(m_timing, executor);
        asio::co_spawn(executor, deliver(node->agent, std::move(message), fault, pending), asio::detached);
        const auto end = m_timing.now() + timeout;
        while (!pending->reply && !pending->lost && m_timing.now() < end)
            (void)co_await pending->timer.wait(end - m_timing.now());
        if (!pending->reply)
            throw Error { ErrorKind::outcomeUnknown, "no reply", "ask the agent" };
        co_return std::move(*pending->reply);
    }

    [[nodiscard]] Awaitable<InquireReply> inquire(ExecutorNodePtr node, Inquire message, Duration)
    {
        const auto agent = m_state->agents.at(node->agent);
        if (agent->incarnation != node->incarnation)
            throw Error { ErrorKind::unavailable, "connection ended", "ask later" };
        co_return agent->ledger.inquire(message, m_timing.now());
    }

private:
    struct Pending {
        Pending(const ManualTiming& timing, const asio::any_io_executor& executor)
            : timer { timing, executor }
        {
        }
        ManualTiming::Timer timer;
        std::optional<ExecuteReply> reply;
        bool lost { false };
    };

    Fault takeFault()
    {
        if (m_state->faults.empty())
            return Fault::none;
        const auto fault = m_state->faults.front();
        m_state->faults.pop_front();
        return fault;
    }

    [[nodiscard]] Awaitable<> deliver(AgentId id, Execute message, Fault fault, std::shared_ptr<Pending> pending)
    {
        ManualTiming::Timer timer { m_timing, co_await asio::this_coro::executor };
        const auto travel
            = fault == Fault::late ? Duration { std::chrono::seconds { 3 } } : std::chrono::milliseconds { 1 };
        if (fault == Fault::late)
            pending->lost = true;
        (void)co_await timer.wait(travel);
        auto reply = std::optional<ExecuteReply> {};
        if (fault != Fault::dropped)
            reply = co_await run(id, std::move(message), fault);
        if (reply && fault == Fault::corrupted)
            reply->body = "answer to another request";
        if (fault == Fault::replyLost || fault == Fault::late || !reply)
            pending->lost = true;
        else
            pending->reply = std::move(reply);
        pending->timer.cancel();
    }

    /*! @brief Does the work of an agent's executor endpoint; returns no reply if the agent restarts meanwhile. */
    [[nodiscard]] Awaitable<std::optional<ExecuteReply>> run(AgentId id, Execute message, Fault fault)
    {
        const auto agent = m_state->agents.at(id);
        if (agent->incarnation != message.incarnation)
            co_return std::nullopt;
        ExecuteReply reply;
        reply.request = fault == Fault::corrupted ? message.request + 1 : message.request;
        reply.incarnation = agent->incarnation;
        reply.slotsFree = 1;
        reply.status = 200;
        const bool nonIdempotent = !message.idempotent;
        LedgerDecision decision;
        decision.run = true;
        if (nonIdempotent)
            decision = agent->ledger.begin(message.key, m_timing.now());
        if (decision.run && fault == Fault::refused) {
            agent->ledger.release(message.key);
            decision.run = false;
            decision.outcome = Outcome::notRun;
        }
        if (!decision.run) {
            reply.outcome = decision.outcome;
            reply.status = decision.status;
            reply.body = decision.body;
            co_return reply;
        }
        ++m_state->runs[message.key.empty() ? message.body : message.key];
        m_state->ranOn.push_back(id);
        ManualTiming::Timer timer { m_timing, co_await asio::this_coro::executor };
        (void)co_await timer.wait(fault == Fault::slow ? Duration { std::chrono::seconds { 4 } } : m_state->runTime);
        reply.outcome = Outcome::done;
        reply.body = "answer to " + message.key + " " + message.body;
        if (nonIdempotent)
            agent->ledger.finish(message.key, reply.status, reply.body, m_timing.now());
        if (m_state->agents.at(id) != agent)
            co_return std::nullopt;
        co_return reply;
    }

    ManualTiming m_timing;
    std::shared_ptr<State> m_state { std::make_shared<State>() };
};

}
