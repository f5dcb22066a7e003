#pragma once

#include "lycheespool/cluster/node_settings.h"
#include "lycheespool/core/error.h"
#include "lycheespool/core/event_log.h"
#include "lycheespool/net/sleep.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <concepts>
#include <functional>
#include <string>
#include <utility>

namespace lycheespool {

/**
 * @brief Applies changed settings to a process that runs. Lives on one thread.
 *
 * The seeds take effect at once. Addresses and bounds are those of the start: a change of them is logged and waits for
 * a restart. Settings that are wrong leave the old ones in effect.
 *
 * @tparam Read Callable that gives NodeSettings, or throws Error when they are wrong.
 */
template <std::invocable Read>
class SettingsReloader {
public:
    /*! @brief Interval at which the settings are read; they may change without a signal, and apply within seconds. */
    static constexpr Duration readInterval = std::chrono::seconds { 1 };

    /**
     * @brief Makes the reload.
     * @param current Settings in effect.
     * @param read Reads the settings.
     * @param applySeeds Called with the new seeds.
     */
    SettingsReloader(NodeSettings current, Read read, std::function<void(const std::vector<Address>&)> applySeeds)
        : m_current { std::move(current) }
        , m_read { std::move(read) }
        , m_applySeeds { std::move(applySeeds) }
    {
    }

    /**
     * @brief Reads the settings and applies what changed.
     * @param isSignalled True after SIGHUP, which is answered by a line also when nothing changed.
     */
    void check(bool isSignalled)
    {
        NodeSettings next;
        try {
            next = m_read();
        } catch (const Error& error) {
            if (std::exchange(m_lastFailure, error.what()) != error.what() || isSignalled)
                logEvent("reload_failed", { { "reason", error.what() }, { "remedy", error.remedy() } });
            return;
        }
        m_lastFailure.clear();
        const bool hasNewSeeds = next.seeds != m_current.seeds;
        auto restarted = next;
        restarted.seeds = m_current.seeds;
        const bool needsRestart = restarted != m_current;
        if (hasNewSeeds) {
            m_current.seeds = next.seeds;
            m_applySeeds(m_current.seeds);
        }
        const bool isNewsToRestart = needsRestart && restarted != m_waiting;
        if (hasNewSeeds || isNewsToRestart || isSignalled)
            logEvent("reloaded",
                { { "changed", hasNewSeeds }, { "seeds", m_current.seeds.size() },
                    { "restart_needed", needsRestart } });
        m_waiting = std::move(restarted);
    }

    /*! @brief Reads the settings again and again; never ends. */
    [[nodiscard]] Awaitable<> run()
    {
        while (true) {
            co_await sleepFor(readInterval);
            check(false);
        }
    }

private:
    NodeSettings m_current;
    // Settings that differ from those in effect and wait for a restart.
    NodeSettings m_waiting;
    std::string m_lastFailure;
    Read m_read;
    std::function<void(const std::vector<Address>&)> m_applySeeds;
};

}
