#pragma once

#include "lycheespool/cluster/operator_state.h"
#include "lycheespool/core/boot_clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/core/event_log.h"
#include "lycheespool/net/sleep.h"
#include "lycheespool/store/row_store.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace lycheespool {

/**
 * @brief Watches the operators' rows in the store.
 *
 * Each answer of the store confirms the current state, so its age is known even if nothing changes.
 *
 * @tparam Store Model of RowStore.
 */
template <RowStore Store>
class OperatorWatcher {
public:
    /*! @brief Maximum time that a call waits for a change; bounds the time until an unresponsive connection is
     * detected. */
    static constexpr Duration changeWait = std::chrono::milliseconds { 700 };
    /*! @brief Timeout of a call, in addition to the wait for a change. */
    static constexpr Duration answerTimeout = std::chrono::milliseconds { 800 };
    /*! @brief Delay before the retry of a failed call. */
    static constexpr Duration retryDelay = std::chrono::milliseconds { 200 };

    /**
     * @brief Creates a watcher.
     * @param store The store; must outlive the watcher.
     * @param source Table and decoder of the rows.
     * @param onChange Called after each change of the state.
     */
    OperatorWatcher(Store& store, OperatorSource source, std::function<void()> onChange)
        : m_store { store }
        , m_source { std::move(source) }
        , m_onChange { std::move(onChange) }
    {
    }

    /*! @brief Watches the rows; never returns. */
    [[nodiscard]] Awaitable<> run()
    {
        while (true) {
            bool failed = false;
            try {
                co_await step();
            } catch (const std::exception& error) {
                // Whatever was thrown, a watcher that ends would leave the process with an outdated config for good.
                failed = true;
                // A list answers at once, and also when the same feed call would fail again and again.
                m_isListed = false;
                if (!std::exchange(m_isUnreachable, true))
                    logEvent("operator_rows_unreachable", { { "reason", error.what() }, { "age_ms", ageMs() } });
            }
            if (failed)
                co_await sleepFor(retryDelay);
            else if (std::exchange(m_isUnreachable, false))
                logEvent("operator_rows_regained", { { "version", m_version } });
        }
    }

    /**
     * @brief Makes one call to the store: lists the rows, or waits for changes.
     * @throws Error if the store did not answer.
     */
    [[nodiscard]] Awaitable<> step()
    {
        const auto sent = BootClock {}.now();
        if (!m_isListed) {
            RowRange range { m_source.table, {}, {}, {} };
            const auto list = co_await m_store.list(std::move(range), answerTimeout);
            std::map<std::string, std::string> rows;
            for (const auto& it : list.rows)
                rows[it.name.key] = it.value;
            m_isApplied = m_isApplied && rows == m_rows;
            m_rows = std::move(rows);
            m_version = list.version;
            if (!m_isApplied)
                apply();
            m_isListed = true;
            m_confirmedAt = sent;
            co_return;
        }
        std::string table = m_source.table;
        const auto changes
            = co_await m_store.changes(std::move(table), m_version, changeWait, changeWait + answerTimeout);
        if (changes.isHistoryLost) {
            logEvent("operator_history_lost", { { "version", m_version } });
            m_isListed = false;
            co_return;
        }
        m_version = std::max(m_version, changes.version);
        if (changes.rows.empty()) {
            // The store says that nothing has changed at the end of the wait; an earlier answer confirms less.
            const bool hasWaited = BootClock {}.now() - sent >= changeWait;
            m_confirmedAt = std::max(m_confirmedAt, hasWaited ? sent + changeWait : sent);
            co_return;
        }
        for (const auto& it : changes.rows) {
            // The feed covers all partitions of the table; the operators write to the empty one.
            if (!it.name.partition.empty())
                continue;
            if (it.isRemoved)
                m_rows.erase(it.name.key);
            else
                m_rows[it.name.key] = it.value;
        }
        m_isApplied = false;
        apply();
        m_confirmedAt = sent;
    }

    /**
     * @brief Returns the current state.
     * @return The state that the last change produced.
     */
    [[nodiscard]] const OperatorState& state() const { return m_state; }

    /**
     * @brief Returns the maximum age of the state.
     * @param now Current time.
     * @return Time since the store last confirmed the state, counted from the sending of the request.
     */
    [[nodiscard]] Duration age(TimePoint now) const { return now - m_confirmedAt; }

private:
    [[nodiscard]] std::int64_t ageMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(age(BootClock {}.now())).count();
    }

    void apply()
    {
        const auto previousVersion = m_state.config ? m_state.config->version : 0;
        auto next = m_source.decode(m_rows, m_state);
        if (next.config && next.config->version < previousVersion)
            next.config = m_state.config;
        m_state = std::move(next);
        m_isApplied = true;
        logEvent("operator_state_changed",
            { { "config_version", m_state.config ? m_state.config->version : 0 }, { "previous", previousVersion },
                { "zones_out", m_state.zonesOut }, { "store_version", m_version } });
        m_onChange();
    }

    Store& m_store;
    OperatorSource m_source;
    std::function<void()> m_onChange;
    std::map<std::string, std::string> m_rows;
    OperatorState m_state;
    std::uint64_t m_version { 0 };
    bool m_isListed { false };
    /*! @brief The state was decoded from `m_rows`. */
    bool m_isApplied { false };
    bool m_isUnreachable { false };
    TimePoint m_confirmedAt { -std::chrono::hours { 24 } };
};

}
