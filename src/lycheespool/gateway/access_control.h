#pragma once

#include "lycheespool/cluster/operator_state.h"
#include "lycheespool/core/boot_clock.h"
#include "lycheespool/core/event_log.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/gateway/access.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>

namespace lycheespool {

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

/*! @brief A decision about a call, with the config that it relies on. */
struct AccessResult {
    /*! @brief Keeps the pointers of `access` valid; null if there is no config yet. */
    std::shared_ptr<const OperatorConfig> config;
    Access access;
    /*! @brief Time since the store last confirmed the config. */
    Duration configAge {};

    /*! @brief Version of the config, 0 if there is none. */
    [[nodiscard]] std::uint64_t version() const { return config ? config->version : 0; }
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
     * @param maxConfigAge Age up to which a config is in force.
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
        AccessResult result;
        result.config = m_source.state().config;
        result.configAge = m_source.age(BootClock {}.now());
        isCurrent();
        m_configAgeMs.record(std::chrono::duration<double, std::milli> { result.configAge }.count());
        result.access.decision = AccessDecision::undecided;
        if (result.config) {
            result.access = checkAccess(*result.config, host, path, key);
            // An outdated config must not deny what a newer one allows.
            if (result.access.decision != AccessDecision::allowed && result.configAge > m_maxConfigAge)
                result.access.decision = AccessDecision::undecided;
        }
        count(result.access.decision);
        return result;
    }

    /*! @brief Returns the newest known config, null if there is none. */
    [[nodiscard]] std::shared_ptr<const OperatorConfig> config() const { return m_source.state().config; }

    /*! @brief Checks if the config is in force, and logs when that changes. */
    bool isCurrent()
    {
        const auto age = m_source.age(BootClock {}.now());
        const auto& config = m_source.state().config;
        const bool isNowCurrent = config && age <= m_maxConfigAge;
        if (std::exchange(m_wasCurrent, isNowCurrent) != isNowCurrent)
            logEvent(isNowCurrent ? "config_current" : "config_outdated",
                { { "config_version", config ? config->version : 0 },
                    { "config_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(age).count() } });
        return isNowCurrent;
    }

private:
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
    bool m_wasCurrent { false };
    Counter& m_allowed;
    Counter& m_denied;
    Counter& m_undecided;
    LatencyHistogram& m_configAgeMs;
};

}
