#pragma once

#include "lycheespool/request/manual_timing.h"
#include "lycheespool/store/emulated_table.h"

#include <random>

namespace lycheespool {

/*! @brief Emulated table that delays each request and each response by up to 3 ms of virtual time, so that entries
 * interleave. */
class DelayedTable {
public:
    DelayedTable(MemoryTable& rows, TableFaults& faults, const ManualTiming& timing, unsigned seed)
        : m_table { rows, faults }
        , m_timing { timing }
        , m_random { seed + 1 }
    {
    }

    [[nodiscard]] Awaitable<Row> get(std::string key)
    {
        co_await delay();
        auto row = co_await m_table.get(std::move(key));
        co_await delay();
        co_return row;
    }

    [[nodiscard]] Awaitable<Rows> list(std::string prefix) { return m_table.list(std::move(prefix)); }

    [[nodiscard]] Awaitable<CommitResult> commit(Transaction transaction)
    {
        co_await delay();
        auto result = co_await m_table.commit(std::move(transaction));
        co_await delay();
        co_return result;
    }

private:
    [[nodiscard]] Awaitable<> delay()
    {
        ManualTiming::Timer timer { m_timing, co_await asio::this_coro::executor };
        (void)co_await timer.wait(std::chrono::milliseconds { m_random() % 4 });
    }

    EmulatedTable m_table;
    ManualTiming m_timing;
    std::minstd_rand m_random;
};

}
