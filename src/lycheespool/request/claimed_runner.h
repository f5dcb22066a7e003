#pragma once

#include "lycheespool/request/body_digest.h"
#include "lycheespool/request/claim_store.h"
#include "lycheespool/request/completion_queue.h"
#include "lycheespool/request/executor_calls.h"
#include "lycheespool/request/request_attempt.h"
#include "lycheespool/request/retry_budget.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace lycheespool {

/**
 * @brief Runs non-idempotent requests at most once, using a claim in the table.
 *
 * The object must outlive all its coroutines: some continue after the client has its answer.
 *
 * @tparam TableType Model of Table.
 * @tparam Calls An ExecutorCalls.
 * @tparam TimingType Model of Timing.
 */
template <Table TableType, typename Calls, Timing TimingType>
class ClaimedRunner {
public:
    /**
     * @brief Constructs the runner of one entry.
     * @param entry Name of the entry.
     * @param table Table service.
     * @param calls Client of the executors.
     * @param budget Budget for repeated dispatches.
     * @param metrics Registry for counters.
     * @param timing Clock and timers.
     */
    ClaimedRunner(
        EntryId entry, TableType& table, Calls& calls, RetryBudget& budget, Metrics& metrics, TimingType timing)
        : m_calls { calls }
        , m_budget { budget }
        , m_timing { std::move(timing) }
        , m_claims { std::move(entry), table }
        , m_completions { m_claims, metrics, m_timing }
        , m_replayed { metrics.counter("requests_replayed_total") }
        , m_unknown { metrics.counter("requests_outcome_unknown_total") }
    {
    }

    /**
     * @brief Runs a request.
     * @param request A non-idempotent request with a key.
     * @param deadline Time by which the answer is due.
     * @return The answer.
     */
    [[nodiscard]] Awaitable<ClientAnswer> run(ClientRequest request, TimePoint deadline)
    {
        const auto executor = co_await asio::this_coro::executor;
        const auto attempt = std::make_shared<AttemptType>(m_timing, executor, deadline);
        asio::co_spawn(executor, runAttempt(std::move(request), attempt), asio::detached);
        auto answer = co_await attempt->wait();
        if (answer.outcome == Outcome::unknown)
            m_unknown.add();
        co_return answer;
    }

    /**
     * @brief Counts claim rows that wait to be written to the table.
     * @return Number of rows.
     */
    [[nodiscard]] std::size_t pendingCompletions() const { return m_completions.size(); }

private:
    using AttemptType = RequestAttempt<TimingType>;
    using AttemptPtr = std::shared_ptr<AttemptType>;

    static constexpr unsigned badRequest = 400;
    static constexpr unsigned gone = 410;
    static constexpr unsigned unprocessable = 422;
    static constexpr unsigned serviceUnavailable = 503;
    // The table's circuit breaker probes once per second while it is open.
    static constexpr Duration tableRetryAfter = std::chrono::seconds { 2 };
    static constexpr Duration executorRetryAfter = std::chrono::seconds { 1 };
    // Longest time that a client waits for the row write of its finished request; a later write is completed in the
    // background.
    static constexpr Duration completionWait = std::chrono::milliseconds { 100 };
    // An agent answers from memory; a longer delay means that its connection is broken.
    static constexpr Duration inquiryTimeout = std::chrono::milliseconds { 500 };
    // Limits the rounds of one attempt while other entries keep changing its row.
    static constexpr unsigned maxRounds = 8;

    /*! @brief State of one attempt. */
    struct Progress {
        Claim claim;
        std::string digest;
        ExcludedNodes excluded;
        /*! @brief True when the dispatch in the row is proved not to have run. */
        bool provedNotRun { false };
        unsigned dispatches { 0 };
        std::optional<ClientAnswer> answer;
    };

    [[nodiscard]] Awaitable<> runAttempt(ClientRequest request, AttemptPtr attempt)
    {
        ClientAnswer answer;
        try {
            answer = co_await findAnswer(request, *attempt);
        } catch (const Error& error) {
            answer = attempt->isSent() ? unknownAnswer(error.what())
                                       : notRunAnswer(serviceUnavailable, error.what(), tableRetryAfter);
        }
        attempt->finish(std::move(answer));
    }

    [[nodiscard]] Awaitable<ClientAnswer> findAnswer(const ClientRequest& request, AttemptType& attempt)
    {
        if (request.key.value().empty())
            co_return notRunAnswer(badRequest, "a non-idempotent request needs an idempotency key");
        Progress progress;
        progress.digest = bodyDigestOf(request.body);
        progress.claim = co_await m_claims.open(request.workspace, request.key, progress.digest);
        for (unsigned i = 0; i < maxRounds && !progress.answer; ++i) {
            co_await resolveFromRow(request, attempt, progress);
            if (!progress.answer)
                co_await dispatch(request, attempt, progress);
        }
        if (!progress.answer && attempt.isSent())
            progress.answer = unknownAnswer("other attempts with the same key are in progress");
        if (!progress.answer)
            progress.answer = notRunAnswer(
                serviceUnavailable, "other attempts with the same key are in progress", executorRetryAfter);
        co_return std::move(*progress.answer);
    }

    /*! @brief Sets the answer from the row if it determines one; otherwise the request can be dispatched. */
    [[nodiscard]] Awaitable<> resolveFromRow(const ClientRequest& request, AttemptType& attempt, Progress& progress)
    {
        const auto& row = progress.claim.row;
        if (row.digest != progress.digest) {
            progress.answer
                = notRunAnswer(unprocessable, "the key was used for a request with another body; choose a new key");
            co_return;
        }
        if (row.state == ClaimState::dispatched && !progress.provedNotRun)
            co_await inquire(request, attempt, progress);
        else if (row.state == ClaimState::done)
            co_await replay(request, progress);
    }

    [[nodiscard]] Awaitable<> replay(const ClientRequest& request, Progress& progress)
    {
        m_replayed.add();
        const auto& row = progress.claim.row;
        if (row.answer.complete) {
            progress.answer = doneAnswer(row.answer.status, row.answer.body);
            co_return;
        }
        auto reply = co_await inquireAgent(request, row);
        if (reply.state == ExecutionState::done) {
            progress.answer = doneAnswer(reply.status, std::move(reply.body));
            co_return;
        }
        progress.answer = unknownAnswer("the request ran, but its answer was too large to be stored");
        progress.answer->status = gone;
        progress.answer->retryAfter.reset();
    }

    /*! @brief Asks the agent for the outcome of the dispatch in the row. */
    [[nodiscard]] Awaitable<> inquire(const ClientRequest& request, AttemptType& attempt, Progress& progress)
    {
        auto reply = co_await inquireAgent(request, progress.claim.row);
        switch (reply.state) {
        case ExecutionState::done:
            co_await complete(attempt, progress, doneAnswer(reply.status, std::move(reply.body)));
            co_return;
        case ExecutionState::running:
            progress.answer = unknownAnswer("the request is still running");
            co_return;
        case ExecutionState::notSeen:
            progress.answer = unknownAnswer("the agent that received the request cannot report its outcome now");
            co_return;
        case ExecutionState::tombstoned:
            markNotRun(attempt, progress);
            co_return;
        }
    }

    [[nodiscard]] Awaitable<InquireReply> inquireAgent(const ClientRequest& request, const ClaimRow& row)
    {
        InquireReply reply;
        const auto node = m_calls.find(row.agent, row.incarnation);
        if (node) {
            auto key = Calls::wireKey(request);
            reply = co_await m_calls.inquire(node, std::move(key), inquiryTimeout);
        }
        co_return reply;
    }

    void markNotRun(AttemptType& attempt, Progress& progress)
    {
        attempt.reopen();
        progress.provedNotRun = true;
        progress.excluded.emplace_back(progress.claim.row.agent, progress.claim.row.incarnation);
    }

    [[nodiscard]] Awaitable<> dispatch(const ClientRequest& request, AttemptType& attempt, Progress& progress)
    {
        const auto executor = co_await asio::this_coro::executor;
        if (progress.dispatches > 0 && (!Calls::retries || !m_budget.withdraw())) {
            releaseClaim(progress, executor);
            progress.answer
                = notRunAnswer(serviceUnavailable, "the executor did not run the request", executorRetryAfter);
            co_return;
        }
        const auto lease = m_calls.choose(progress.excluded);
        if (!lease.node()) {
            releaseClaim(progress, executor);
            progress.answer = notRunAnswer(serviceUnavailable, "no executor is available", executorRetryAfter);
            co_return;
        }
        auto claim = progress.claim;
        auto agent = lease.node()->agent;
        auto write = co_await m_claims.dispatch(std::move(claim), std::move(agent), lease.node()->incarnation);
        progress.claim = std::move(write.claim);
        progress.provedNotRun = false;
        if (write.applied)
            co_await send(request, attempt, progress, lease.node());
    }

    [[nodiscard]] Awaitable<> send(
        const ClientRequest& request, AttemptType& attempt, Progress& progress, ExecutorNodePtr node)
    {
        const auto executor = co_await asio::this_coro::executor;
        if (!attempt.begin()) {
            progress.provedNotRun = true;
            releaseClaim(progress, executor);
            progress.answer = notRunAnswer(
                serviceUnavailable, "the deadline passed before the request was sent", executorRetryAfter);
            co_return;
        }
        ++progress.dispatches;
        const auto left = attempt.timeLeft();
        auto result = co_await m_calls.call(node, request, left);
        if (result.outcome == Outcome::done)
            co_await complete(attempt, progress, doneAnswer(result.status, std::move(result.body)));
        else if (result.outcome == Outcome::notRun)
            markNotRun(attempt, progress);
    }

    /*! @brief Answers the client and stores the answer in the row, immediately or through the completion queue. */
    [[nodiscard]] Awaitable<> complete(AttemptType& attempt, Progress& progress, ClientAnswer answer)
    {
        const auto executor = co_await asio::this_coro::executor;
        attempt.offer(answer, completionWait);
        auto next = m_claims.doneRow(progress.claim, answer.status, answer.body);
        progress.answer = std::move(answer);
        bool written = false;
        try {
            auto claim = progress.claim;
            auto row = next;
            (void)co_await m_claims.replace(std::move(claim), std::move(row));
            written = true;
        } catch (const Error&) {
            written = false;
        }
        if (!written)
            m_completions.push(progress.claim, std::move(next), executor);
    }

    /*! @brief Resets the row to claimed, for the next retry, if its dispatch is proved not to have run. */
    void releaseClaim(const Progress& progress, const asio::any_io_executor& executor)
    {
        if (progress.provedNotRun && progress.claim.row.state == ClaimState::dispatched)
            m_completions.push(progress.claim, m_claims.claimedRow(progress.claim), executor);
    }

    Calls& m_calls;
    RetryBudget& m_budget;
    TimingType m_timing;
    ClaimStore<TableType> m_claims;
    CompletionQueue<TableType, TimingType> m_completions;
    Counter& m_replayed;
    Counter& m_unknown;
};

}
