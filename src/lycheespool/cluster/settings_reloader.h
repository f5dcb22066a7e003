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
 * @brief Applies changed settings to a running process. Single-threaded.
 *
 * New seeds take effect immediately. Addresses and bounds are fixed at the start: a change to them is logged and takes
 * effect after a restart. Invalid settings leave the previous ones in effect.
 *
 * @tparam Read Callable that returns NodeSettings, or throws Error if they are invalid.
 */
template <std::invocable Read>
class SettingsReloader {
public:
    /*! @brief Interval at which the settings are read; they may change without a signal and must apply within seconds.
     */
    static constexpr Duration readInterval = std::chrono::seconds { 1 };

    /**
     * @brief Creates the reloader.
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
     * @brief Reads the settings and applies the changes.
     * @param isSignalled True after SIGHUP, which is logged even if nothing changed.
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
        auto restartSettings = next;
        restartSettings.seeds = m_current.seeds;
        const bool needsRestart = restartSettings != m_current;
        if (hasNewSeeds) {
            m_current.seeds = next.seeds;
            m_applySeeds(m_current.seeds);
        }
        const bool isNewRestartNeed = needsRestart && restartSettings != m_restartSettings;
        if (hasNewSeeds || isNewRestartNeed || isSignalled)
            logEvent("reloaded",
                { { "changed", hasNewSeeds }, { "seeds", m_current.seeds.size() },
                    { "restart_needed", needsRestart } });
        m_restartSettings = std::move(restartSettings);
    }

    /*! @brief Reads the settings periodically; never returns. */
    [[nodiscard]] Awaitable<> run()
    {
        while (true) {
            co_await sleepFor(readInterval);
            check(false);
        }
    }

private:
    NodeSettings m_current;
    // Last settings that were read, apart from the seeds; differences from those in effect need a restart.
    NodeSettings m_restartSettings;
    std::string m_lastFailure;
    Read m_read;
    std::function<void(const std::vector<Address>&)> m_applySeeds;
};

}
