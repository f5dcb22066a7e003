#pragma once

#include "lycheespool/core/error.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/core/log.h"
#include "lycheespool/core/published.h"
#include "lycheespool/entry/entry_list.h"
#include "lycheespool/net/address.h"
#include "lycheespool/net/sleep.h"
#include "lycheespool/store/table.h"

#include <atomic>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace lycheespool {

/**
 * @brief Registers this entry in the table and lists all entries, whose addresses are sent to agents.
 * @tparam TableType Model of Table.
 */
template <Table TableType>
class EntryRegistry {
public:
    /*! @brief Time between two reads of the list; bounds the delay until agents know a new entry. */
    static constexpr Duration listInterval = std::chrono::seconds { 1 };
    /*! @brief Time between two renewals of the registration. */
    static constexpr Duration renewInterval = std::chrono::seconds { 5 };
    /*! @brief An entry whose row has not changed for this time is considered lost, and its row is deleted. */
    static constexpr Duration expiry = std::chrono::seconds { 20 };

    /**
     * @brief Creates a registry.
     * @param table Table service.
     * @param entry Name of this entry.
     * @param address RPC address of this entry.
     */
    EntryRegistry(TableType& table, EntryId entry, const Address& address)
        : m_table { table }
        , m_entry { std::move(entry) }
        , m_address { address.toString() }
    {
        m_entries.store(EntryList::of({ m_address }));
    }

    /*! @brief Renews the registration and reads the list until withdraw() is called. */
    [[nodiscard]] Awaitable<> run()
    {
        while (!m_stopped) {
            try {
                if (SteadyClock {}.now() >= m_nextRenewal)
                    co_await renew();
                co_await list();
            } catch (const std::exception&) {
                // The previous list remains in use while the table is unavailable.
                ++m_failures;
            }
            co_await sleepFor(listInterval);
        }
    }

    /*! @brief Stops run() and deletes the registration, at a planned stop. */
    [[nodiscard]] Awaitable<> withdraw()
    {
        m_stopped = true;
        Transaction transaction;
        transaction.writes.push_back({ keyOf(m_entry.value()), std::nullopt });
        try {
            co_await m_table.commit(std::move(transaction));
        } catch (const Error& error) {
            log(LogLevel::warning, "cannot delete the registration, it remains until it expires: {}", error.what());
        }
    }

    /**
     * @brief Lists the RPC addresses of all entries.
     * @return The list, this entry included.
     */
    [[nodiscard]] Published<EntryList>::Snapshot entries() const { return m_entries.load(); }

private:
    struct ObservedRow {
        std::uint64_t version;
        TimePoint firstSeenAt;
    };

    [[nodiscard]] static std::string keyOf(const std::string& entry) { return "entry/" + entry; }

    [[nodiscard]] Awaitable<> renew()
    {
        Transaction transaction;
        transaction.writes.push_back({ keyOf(m_entry.value()), m_address });
        const auto sent = SteadyClock {}.now();
        co_await m_table.commit(std::move(transaction));
        m_nextRenewal = sent + renewInterval;
    }

    [[nodiscard]] Awaitable<> list()
    {
        const auto rows = co_await m_table.list("entry/");
        const auto now = SteadyClock {}.now();
        std::vector<std::string> entries;
        Transaction cleanup;
        for (const auto& it : rows) {
            auto& observed = m_observedRows.try_emplace(it.key, ObservedRow { it.version, now }).first->second;
            if (observed.version != it.version)
                observed = { it.version, now };
            if (now - observed.firstSeenAt < expiry)
                entries.push_back(it.value);
            else
                cleanup = { { { it.key, it.version } }, { { it.key, std::nullopt } } };
        }
        m_entries.store(EntryList::of(std::move(entries)));
        if (!cleanup.writes.empty())
            co_await m_table.commit(std::move(cleanup));
    }

    TableType& m_table;
    EntryId m_entry;
    std::string m_address;
    Published<EntryList> m_entries;
    std::map<std::string, ObservedRow> m_observedRows;
    TimePoint m_nextRenewal;
    std::atomic<std::uint64_t> m_failures { 0 };
    std::atomic<bool> m_stopped { false };
};

}
