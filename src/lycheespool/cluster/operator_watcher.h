#pragma once

#include "lycheespool/cluster/operator_state.h"
#include "lycheespool/core/boot_clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/core/event_log.h"
#include "lycheespool/net/sleep.h"
#include "lycheespool/store/row_store.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace lycheespool {

/**
 * @brief Follows the operators' rows in the store.
 *
 * Each answer of the store confirms the present state, so that its age is known even when nothing changes.
 *
 * @tparam Store Model of RowStore.
 */
template <RowStore Store>
class OperatorWatcher {
public:
    /*! @brief Longest wait for a change; bounds the time until a silent connection is noticed. */
    static constexpr Duration feedWait = std::chrono::milliseconds { 700 };
    /*! @brief Longest time for an answer beyond the wait. */
    static constexpr Duration answerTimeout = std::chrono::milliseconds { 800 };
    /*! @brief Pause after a failure. */
    static constexpr Duration retryPause = std::chrono::milliseconds { 200 };

    /**
     * @brief Makes a watcher.
     * @param store The store; must outlive the watcher.
     * @param source Where the rows are.
     * @param onChange Called after each change of the state.
     */
    OperatorWatcher(Store& store, OperatorSource source, std::function<void()> onChange)
        : m_store { store }
        , m_source { std::move(source) }
        , m_onChange { std::move(onChange) }
    {
    }

    /*! @brief Follows the rows until the context ends. */
    [[nodiscard]] Awaitable<> run()
    {
        while (true) {
            bool failed = false;
            try {
                co_await step();
            } catch (const Error& error) {
                failed = true;
                if (!std::exchange(m_isDown, true))
                    logEvent("operator_rows_unreachable", { { "reason", error.what() }, { "age_ms", ageMs() } });
            }
            if (failed)
                co_await sleepFor(retryPause);
            else if (std::exchange(m_isDown, false))
                logEvent("operator_rows_regained", { { "version", m_version } });
        }
    }

    /**
     * @brief Makes one call of the store: lists the rows, or waits for a change of them.
     * @throws Error when the store did not answer.
     */
    [[nodiscard]] Awaitable<> step()
    {
        const auto sent = BootClock {}.now();
        if (!m_isListed) {
            RowRange range { m_source.table, {}, {}, {} };
            const auto list = co_await m_store.list(std::move(range), answerTimeout);
            m_rows.clear();
            for (const auto& it : list.rows)
                m_rows[it.name.key] = it.value;
            m_version = list.version;
            m_isListed = true;
            apply();
        } else {
            std::string table = m_source.table;
            const auto changes
                = co_await m_store.changes(std::move(table), m_version, feedWait, feedWait + answerTimeout);
            if (changes.isHistoryLost) {
                logEvent("operator_history_lost", { { "version", m_version } });
                m_isListed = false;
                co_return;
            }
            m_version = std::max(m_version, changes.version);
            for (const auto& it : changes.rows) {
                if (it.isRemoved)
                    m_rows.erase(it.name.key);
                else
                    m_rows[it.name.key] = it.value;
            }
            if (!changes.rows.empty()) {
                apply();
            } else {
                // The store waited before it answered that nothing had changed.
                m_confirmedAt = sent + feedWait;
                co_return;
            }
        }
        m_confirmedAt = sent;
    }

    /**
     * @brief Gives the present state.
     * @return The state.
     */
    [[nodiscard]] const OperatorState& state() const { return m_state; }

    /**
     * @brief Tells how old the state may be.
     * @param now Present time.
     * @return Time since the request whose answer confirmed the state was sent.
     */
    [[nodiscard]] Duration age(TimePoint now) const { return now - m_confirmedAt; }

private:
    [[nodiscard]] std::int64_t ageMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(age(BootClock {}.now())).count();
    }

    void apply()
    {
        const auto before = m_state.config ? m_state.config->version : 0;
        auto next = m_source.decode(m_rows, m_state);
        if (next.config && next.config->version < before)
            next.config = m_state.config;
        m_state = std::move(next);
        logEvent("operator_state_changed",
            { { "config_version", m_state.config ? m_state.config->version : 0 }, { "previous", before },
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
    bool m_isDown { false };
    TimePoint m_confirmedAt { -std::chrono::hours { 24 } };
};

}
