#pragma once

#include "lycheespool/core/error.h"
#include "lycheespool/store/memory_table.h"
#include "lycheespool/store/table.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lycheespool::test {

/*! @brief Fault injected into one step of a table operation. */
enum class Fault { none, unavailable, replyLost, writeDelayed, crash };

/*! @brief Thrown into a coroutine to simulate a crash of its process at this step. */
struct Crash { };

/*! @brief Suspends table operations until a test resumes them one by one. */
class StepGate {
public:
    Awaitable<Fault> pass()
    {
        asio::steady_timer timer { co_await asio::this_coro::executor };
        timer.expires_at(asio::steady_timer::time_point::max());
        Waiter waiter { &timer, Fault::none };
        m_waiters.push_back(&waiter);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        if (waiter.fault == Fault::crash)
            throw Crash {};
        if (waiter.fault == Fault::unavailable)
            throw Error { ErrorKind::unavailable, "table is down", "retry later" };
        co_return waiter.fault;
    }

    void release(std::size_t index, Fault fault)
    {
        auto* waiter = m_waiters.at(index);
        m_waiters.erase(m_waiters.begin() + static_cast<std::ptrdiff_t>(index));
        waiter->fault = fault;
        waiter->timer->cancel();
    }

    [[nodiscard]] std::size_t size() const { return m_waiters.size(); }

    /*! @brief Commits that were reported with an unknown outcome and have not reached the table yet. */
    std::vector<Transaction> delayed;

private:
    struct Waiter {
        asio::steady_timer* timer;
        Fault fault;
    };

    std::vector<Waiter*> m_waiters;
};

/*! @brief Table whose operations pause before they reach the rows; reads also pause before their reply arrives. */
class StepTable {
public:
    StepTable(MemoryTable& rows, StepGate& gate)
        : m_rows { rows }
        , m_gate { gate }
    {
    }

    Awaitable<Row> get(std::string key)
    {
        co_await m_gate.pass();
        auto row = m_rows.get(key);
        co_await m_gate.pass();
        co_return row;
    }

    Awaitable<Rows> list(std::string prefix)
    {
        co_await m_gate.pass();
        auto rows = m_rows.list(prefix);
        co_await m_gate.pass();
        co_return rows;
    }

    Awaitable<CommitResult> commit(Transaction transaction)
    {
        const auto fault = co_await m_gate.pass();
        if (fault == Fault::writeDelayed)
            m_gate.delayed.push_back(transaction);
        if (fault == Fault::writeDelayed)
            throw Error { ErrorKind::outcomeUnknown, "no reply in time", "read the rows back" };
        auto result = m_rows.commit(transaction);
        if (fault == Fault::replyLost)
            throw Error { ErrorKind::outcomeUnknown, "reply was lost", "read the rows back" };
        co_return result;
    }

private:
    MemoryTable& m_rows;
    StepGate& m_gate;
};

}
