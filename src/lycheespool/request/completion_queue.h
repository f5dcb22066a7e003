#pragma once

#include "lycheespool/core/metrics.h"
#include "lycheespool/net/outbox.h"
#include "lycheespool/request/claim_store.h"
#include "lycheespool/request/timing.h"

#include <atomic>
#include <cstddef>
#include <utility>
#include <vector>

namespace lycheespool {

/**
 * @brief Bounded queue that retries failed writes of claim rows until the table accepts them.
 * @tparam TableType Model of Table.
 * @tparam TimingType Model of Timing.
 */
template <Table TableType, Timing TimingType>
class CompletionQueue {
public:
    /*! @brief Largest number of queued rows; with rows of ClaimStore::maxStoredBody at most 16 MiB. */
    static constexpr std::size_t maxRows = 256;
    /*! @brief Time between two rounds of writes while the table is unavailable. */
    static constexpr Duration retryInterval = std::chrono::seconds { 1 };

    /**
     * @brief Constructs an empty queue.
     * @param claims Claim store; must outlive the coroutines that the queue starts.
     * @param metrics Registry for counters.
     * @param timing Clock and timers.
     */
    CompletionQueue(ClaimStore<TableType>& claims, Metrics& metrics, TimingType timing)
        : m_claims { claims }
        , m_timing { std::move(timing) }
        , m_dropped { metrics.counter("claim_completions_dropped_total") }
        , m_completed { metrics.counter("claim_completions_late_total") }
    {
    }

    /**
     * @brief Adds a row; when the queue is full, the row is dropped and counted.
     * @param claim The row as last read.
     * @param next New content.
     * @param executor Executor for the writes if none is in progress.
     */
    void push(Claim claim, ClaimRow next, const asio::any_io_executor& executor)
    {
        if (m_size.fetch_add(1) >= maxRows) {
            m_size.fetch_sub(1);
            m_dropped.add();
            return;
        }
        (void)m_incoming.push({ std::move(claim), std::move(next) });
        if (!m_running.exchange(true))
            asio::co_spawn(executor, writeQueued(), asio::detached);
    }

    /**
     * @brief Counts the queued rows.
     * @return Number of rows.
     */
    [[nodiscard]] std::size_t size() const { return m_size.load(); }

private:
    struct Item {
        Claim claim;
        ClaimRow next;
    };

    [[nodiscard]] Awaitable<> writeQueued()
    {
        typename TimingType::Timer timer { m_timing, co_await asio::this_coro::executor };
        std::vector<Item> items;
        do {
            m_incoming.drain(items);
            co_await writeAll(items);
            if (!items.empty())
                (void)co_await timer.wait(retryInterval);
            else
                m_running.store(false);
            // push() starts no coroutine for a row that it adds just before m_running is cleared.
        } while (!items.empty() || (m_size.load() > 0 && !m_running.exchange(true)));
    }

    [[nodiscard]] Awaitable<> writeAll(std::vector<Item>& items)
    {
        std::vector<Item> failed;
        for (auto& it : items) {
            bool settled = false;
            if (failed.empty())
                settled = co_await tryWrite(it);
            if (settled)
                m_size.fetch_sub(1);
            else
                failed.push_back(std::move(it));
        }
        items = std::move(failed);
    }

    /*! @brief Returns true if the row needs no further write: it was written, or another entry changed it meanwhile. */
    [[nodiscard]] Awaitable<bool> tryWrite(const Item& item)
    {
        bool settled = false;
        try {
            auto claim = item.claim;
            auto next = item.next;
            const auto write = co_await m_claims.replace(std::move(claim), std::move(next));
            if (write.applied)
                m_completed.add();
            settled = true;
        } catch (const Error& error) {
            settled = error.kind() != ErrorKind::unavailable;
        }
        co_return settled;
    }

    ClaimStore<TableType>& m_claims;
    TimingType m_timing;
    Outbox<Item> m_incoming;
    std::atomic<std::size_t> m_size { 0 };
    std::atomic<bool> m_running { false };
    Counter& m_dropped;
    Counter& m_completed;
};

}
