#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/request/client_answer.h"
#include "lycheespool/request/client_request.h"
#include "lycheespool/request/membership.h"
#include "lycheespool/store/table.h"

#include <algorithm>
#include <atomic>
#include <random>

namespace lycheespool {

/**
 * @brief Serves clients' requests: chooses an executor, dispatches, and gives one final answer.
 *
 * execute() may be called from any thread.
 *
 * @tparam Table Model of Table, for the claims of non-idempotent requests.
 */
template <Table TableType>
class RequestPath {
public:
    /**
     * @brief Makes the request path of one entry.
     * @param entry Name of this entry.
     * @param zone Zone of this entry.
     * @param table Table service.
     * @param membership Known executors.
     * @param metrics Registry for counters.
     */
    RequestPath(EntryId entry, ZoneId zone, TableType& table, Membership& membership, Metrics& metrics)
        : m_entry { std::move(entry) }
        , m_zone { std::move(zone) }
        , m_table { table }
        , m_membership { membership }
        , m_dispatched { metrics.counter("requests_dispatched_total") }
    {
    }

    /**
     * @brief Runs a request.
     * @param request The request.
     * @return Its final answer; never throws for failures of executors, agents or the table.
     */
    [[nodiscard]] Awaitable<ClientAnswer> execute(ClientRequest request)
    {
        const auto node = choose();
        if (!node)
            co_return ClientAnswer { Outcome::notRun, 503, {}, "no executor is available", std::chrono::seconds { 1 } };
        co_return co_await dispatch(std::move(request), node);
    }

private:
    [[nodiscard]] ExecutorNodePtr choose()
    {
        thread_local std::minstd_rand random { std::random_device {}() };
        const auto nodes = m_membership.nodes().load();
        if (nodes->empty())
            return nullptr;
        std::uniform_int_distribution<std::size_t> index { 0, nodes->size() - 1 };
        const auto& first = (*nodes)[index(random)];
        const auto& second = (*nodes)[index(random)];
        return first->inFlight.load() <= second->inFlight.load() ? first : second;
    }

    [[nodiscard]] Awaitable<ClientAnswer> dispatch(ClientRequest request, ExecutorNodePtr node)
    {
        Execute message;
        message.request = m_nextRequest.fetch_add(1);
        message.incarnation = node->incarnation;
        message.idempotent = request.idempotent;
        message.deadlineMs = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(request.timeout).count());
        message.key = request.key.value();
        message.body = std::move(request.body);
        m_dispatched.add();
        node->inFlight.fetch_add(1);
        ClientAnswer answer;
        try {
            auto reply = co_await node->connection->template call<ExecuteReply>(std::move(message), request.timeout);
            answer.outcome = reply.outcome;
            answer.status = reply.status;
            answer.body = std::move(reply.body);
        } catch (const Error& error) {
            answer.reason = error.what();
        }
        node->inFlight.fetch_sub(1);
        co_return answer;
    }

    EntryId m_entry;
    ZoneId m_zone;
    TableType& m_table;
    Membership& m_membership;
    Counter& m_dispatched;
    std::atomic<std::uint64_t> m_nextRequest { 1 };
};

}
