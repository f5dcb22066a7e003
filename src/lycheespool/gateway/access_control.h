#pragma once

#include "lycheespool/cluster/operator_state.h"
#include "lycheespool/core/boot_clock.h"
#include "lycheespool/core/event_log.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/gateway/access.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>

namespace lycheespool {

/*! @brief What an entry knows about its config. */
struct ConfigKnowledge {
    /*! @brief Null until the first config has been read. */
    std::shared_ptr<const OperatorConfig> config;
    /*! @brief Time since the store last confirmed that the operators' rows have not changed. */
    Duration age {};
    /*! @brief A newer config is stored and cannot be decoded. */
    bool isUnreadable { false };
    /*! @brief Newest version that this process has learned of, from the store or from another entry. */
    std::uint64_t newestVersion { 0 };

    /*! @brief Version of the config, 0 if there is none. */
    [[nodiscard]] std::uint64_t version() const { return config ? config->version : 0; }
};

/**
 * @brief Checks if a config may decide about calls.
 *
 * A change is in force everywhere within a time after its acknowledgement. A config that the store confirmed within
 * this time contains every change that is due, so an older one neither allows nor denies. An answer by a newer version
 * has shown that version to the caller, so the process does not return to an older one.
 *
 * @param known What is known about the config.
 * @param maxAge Time within which a change must take effect.
 * @return True if the config may decide.
 */
[[nodiscard]] inline bool isInForce(const ConfigKnowledge& known, Duration maxAge)
{
    return known.config && known.age <= maxAge && known.version() >= known.newestVersion;
}

/**
 * @brief Provides the operators' state and the time since the store last confirmed it.
 */
template <typename Type>
concept OperatorStateSource = requires(const Type& source, TimePoint now)
{
    {
        source.state()
        } -> std::same_as<const OperatorState&>;
    {
        source.age(now)
        } -> std::same_as<Duration>;
};

/*! @brief A decision about a call, with the config that it relies on; `known.config` keeps the pointers of `access`
 * valid. */
struct AccessResult {
    ConfigKnowledge known;
    Access access { AccessDecision::undecided };
};

/**
 * @brief Decides which calls the operators' config allows. Must be used from one thread.
 * @tparam Source Model of OperatorStateSource.
 */
template <OperatorStateSource Source>
class AccessControl {
public:
    /**
     * @brief Creates the control.
     * @param source Provides the config; must outlive the control.
     * @param maxConfigAge Time within which a config change must take effect.
     * @param metrics Registry for counters.
     */
    AccessControl(const Source& source, Duration maxConfigAge, Metrics& metrics)
        : m_source { source }
        , m_maxConfigAge { maxConfigAge }
        , m_allowed { metrics.counter("calls_allowed_total") }
        , m_denied { metrics.counter("calls_denied_total") }
        , m_undecided { metrics.counter("calls_undecided_total") }
        , m_configAgeMs { metrics.histogram("config_age_ms") }
    {
    }

    /**
     * @brief Decides if a call may use a queue.
     * @param host Host name without a port.
     * @param path Path of the call.
     * @param key API key of the caller, empty for none.
     * @return The decision.
     */
    [[nodiscard]] AccessResult check(std::string_view host, std::string_view path, std::string_view key)
    {
        AccessResult result { knowledge() };
        m_configAgeMs.record(std::chrono::duration<double, std::milli> { result.known.age }.count());
        if (isCurrent()) {
            result.access = checkAccess(*result.known.config, host, path, key);
            // A denial could be wrong for each caller that the unreadable config admits.
            if (result.access.decision != AccessDecision::allowed && result.known.isUnreadable)
                result.access.decision = AccessDecision::undecided;
        }
        count(result.access.decision);
        return result;
    }

    /*! @brief Returns the newest version that this process has learned of; calls must not be decided by an older one.
     */
    [[nodiscard]] std::uint64_t newestVersion() const { return knowledge().newestVersion; }

    /**
     * @brief Records a version that another entry knows: the one by which it decided, or the one that it requires.
     * @param version The version.
     */
    void onVersionSeen(std::uint64_t version) { m_newestSeen = std::max(m_newestSeen, version); }

    /*! @brief Checks if the config may decide about calls, and logs when that has changed since the previous check. */
    bool isCurrent()
    {
        const auto known = knowledge();
        const bool isNowCurrent = isInForce(known, m_maxConfigAge);
        if (std::exchange(m_wasCurrent, isNowCurrent) != isNowCurrent)
            logEvent(isNowCurrent ? "config_current" : "config_outdated",
                { { "config_version", known.version() }, { "newest_version", known.newestVersion },
                    { "config_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(known.age).count() } });
        return isNowCurrent;
    }

private:
    [[nodiscard]] ConfigKnowledge knowledge() const
    {
        const auto& state = m_source.state();
        ConfigKnowledge known { state.config, m_source.age(BootClock {}.now()), state.isConfigUnreadable };
        known.newestVersion = std::max(known.version(), m_newestSeen);
        return known;
    }

    void count(AccessDecision decision)
    {
        if (decision == AccessDecision::allowed)
            m_allowed.add();
        else if (decision == AccessDecision::undecided)
            m_undecided.add();
        else
            m_denied.add();
    }

    const Source& m_source;
    Duration m_maxConfigAge;
    std::uint64_t m_newestSeen { 0 };
    bool m_wasCurrent { false };
    Counter& m_allowed;
    Counter& m_denied;
    Counter& m_undecided;
    LatencyHistogram& m_configAgeMs;
};

}
