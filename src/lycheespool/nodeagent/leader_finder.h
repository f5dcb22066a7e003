#pragma once

#include "lycheespool/cluster/row_names.h"
#include "lycheespool/controller/lease_row.h"
#include "lycheespool/core/error.h"
#include "lycheespool/core/event_log.h"
#include "lycheespool/net/address.h"
#include "lycheespool/store/row_store.h"
#include "lycheespool/workload/job_progress.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lycheespool {

/**
 * @brief Finds the address of the leader: reads the lease row, or cycles through the seeds while the store is
 * unreachable.
 * @tparam Store Model of RowStore.
 */
template <RowStore Store>
class LeaderFinder {
public:
    /*! @brief Timeout of a read from the store. */
    static constexpr Duration answerTimeout = std::chrono::milliseconds { 600 };

    /**
     * @brief Creates a finder.
     * @param store The store; must outlive the finder.
     * @param names Names of the rows.
     * @param seeds Addresses of some entries; may be outdated.
     */
    LeaderFinder(Store& store, RowNames names, std::vector<Address> seeds)
        : m_store { store }
        , m_names { std::move(names) }
        , m_seeds { std::move(seeds) }
    {
    }

    /**
     * @brief Replaces the entries that are tried while the store is unreachable.
     * @param seeds Addresses of the entries.
     */
    void setSeeds(std::vector<Address> seeds) { m_seeds = std::move(seeds); }

    /**
     * @brief Determines the address to connect to.
     * @return Address of the leader or of a candidate, or nothing if none is known.
     */
    [[nodiscard]] Awaitable<std::optional<Address>> find()
    {
        RowRange range { std::string { RowNames::controlTable }, m_names.leasePartition(), {}, {} };
        try {
            const auto list = co_await m_store.list(std::move(range), answerTimeout);
            if (std::exchange(m_isStoreUnreachable, false))
                logEvent("lease_readable_again", { { "store_version", list.version } });
            for (const auto& it : list.rows) {
                if (it.name != m_names.lease())
                    continue;
                const auto row = unpackValue<LeaseRow>(it.value);
                if (!row.holder.empty())
                    m_lastKnownLeader = parseAddress(row.address);
                co_return row.holder.empty() ? std::nullopt : m_lastKnownLeader;
            }
            co_return std::nullopt;
        } catch (const Error& error) {
            if (!std::exchange(m_isStoreUnreachable, true))
                logEvent("lease_unreadable", { { "reason", error.what() } });
        }
        co_return nextSeed();
    }

private:
    [[nodiscard]] std::optional<Address> nextSeed()
    {
        const auto count = m_seeds.size() + (m_lastKnownLeader ? 1 : 0);
        if (count == 0)
            return std::nullopt;
        const auto position = m_nextSeed++ % count;
        return position < m_seeds.size() ? m_seeds[position] : *m_lastKnownLeader;
    }

    Store& m_store;
    RowNames m_names;
    std::vector<Address> m_seeds;
    std::optional<Address> m_lastKnownLeader;
    std::size_t m_nextSeed { 0 };
    bool m_isStoreUnreachable { false };
};

}
