#pragma once

#include "lycheespool/core/metrics.h"
#include "lycheespool/request/admission.h"
#include "lycheespool/request/claimed_runner.h"
#include "lycheespool/request/client_answer.h"
#include "lycheespool/request/client_request.h"
#include "lycheespool/request/executor_calls.h"
#include "lycheespool/request/idempotent_runner.h"
#include "lycheespool/request/membership.h"
#include "lycheespool/request/power_of_two.h"
#include "lycheespool/request/retry_budget.h"
#include "lycheespool/request/rpc_dispatcher.h"
#include "lycheespool/request/timing.h"
#include "lycheespool/store/table.h"

#include <memory>
#include <utility>

namespace lycheespool {

/**
 * @brief Serves clients' requests: admits a request, dispatches it to an executor, and returns one final answer.
 *
 * execute() may be called on any Asio context that a single thread runs. The object must outlive the contexts on which
 * execute() was called, or at least their run: some work continues after the client has its answer.
 *
 * @tparam TableType Model of Table, for the claims of non-idempotent requests.
 * @tparam DispatcherType Model of Dispatcher.
 * @tparam Policy Model of RoutingPolicy.
 * @tparam TimingType Model of Timing.
 */
template <Table TableType, Dispatcher DispatcherType = RpcDispatcher, RoutingPolicy Policy = PowerOfTwo<>,
    Timing TimingType = SteadyTiming>
class RequestPath {
public:
    /**
     * @brief Constructs the request path of one entry.
     * @param entry Name of this entry.
     * @param zone Zone of this entry.
     * @param table Table service.
     * @param membership Known executors.
     * @param metrics Registry for counters.
     * @param dispatcher Sends requests to agents.
     * @param timing Clock and timers.
     * @param limits Bounds of the requests that wait for a slot.
     */
    RequestPath(EntryId entry, ZoneId zone, TableType& table, Membership& membership, Metrics& metrics,
        DispatcherType dispatcher = {}, TimingType timing = {}, AdmissionLimits limits = {})
        : m_timing { std::move(timing) }
        , m_calls { std::move(zone), membership, metrics, std::move(dispatcher), m_timing }
        , m_admission { std::make_shared<Admission<TimingType>>(
              [this] { return m_calls.capacity(); }, limits, metrics, m_timing) }
        , m_idempotent { m_calls, m_budget, metrics, m_timing }
        , m_claimed { std::move(entry), table, m_calls, m_budget, metrics, m_timing }
    {
    }

    RequestPath(const RequestPath&) = delete;
    RequestPath& operator=(const RequestPath&) = delete;

    ~RequestPath() { close(); }

    /*! @brief Refuses all waiting and future requests; required before the contexts of the requests are destroyed. */
    void close() { m_admission->close(); }

    /**
     * @brief Runs a request.
     * @param request The request.
     * @return Its final answer; never throws for failures of executors, agents or the table.
     */
    [[nodiscard]] Awaitable<ClientAnswer> execute(ClientRequest request)
    {
        const auto deadline = m_timing.now() + request.timeout;
        auto admitted = co_await m_admission->acquire(request.workspace, request.priority, deadline);
        if (!admitted.ticket.isHeld())
            co_return std::move(admitted.refusal);
        m_budget.deposit();
        if (!request.idempotent)
            co_return co_await m_claimed.run(std::move(request), deadline);
        co_return co_await m_idempotent.run(std::move(request), deadline);
    }

    /**
     * @brief Replaces the set of zones that receive no new work; may be called from any thread.
     * @param zones Zones out of service.
     */
    void setZonesOut(ZoneSet zones) { m_calls.setZonesOut(std::move(zones)); }

    /**
     * @brief Counts the requests that wait for a slot.
     * @return Number of requests.
     */
    [[nodiscard]] std::size_t waiting() const { return m_admission->waiting(); }

    /**
     * @brief Counts claim rows that wait to be written to the table.
     * @return Number of rows.
     */
    [[nodiscard]] std::size_t pendingCompletions() const { return m_claimed.pendingCompletions(); }

private:
    using Calls = ExecutorCalls<DispatcherType, Policy, TimingType>;

    TimingType m_timing;
    RetryBudget m_budget;
    Calls m_calls;
    std::shared_ptr<Admission<TimingType>> m_admission;
    IdempotentRunner<Calls, TimingType> m_idempotent;
    ClaimedRunner<TableType, Calls, TimingType> m_claimed;
};

}
