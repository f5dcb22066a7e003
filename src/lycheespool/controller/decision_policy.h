#pragma once

#include "lycheespool/dispatch/placement_limits.h"
#include "lycheespool/dispatch/preemption.h"
#include "lycheespool/dispatch/retry_timing.h"

#include <filesystem>
#include <string>
#include <string_view>

namespace lycheespool {

/*! @brief Switches, weights and limits of the leader's decisions, which operators may change while it runs. */
struct DecisionPolicy {
    PreemptionLimits preemption;
    PlacementLimits placement;
    /*! @brief Cost factor for evicting work of priority 0, whose interruption costs its caller more. */
    double urgentEvictionFactor { 20 };
    /*! @brief Weight of node speed against tight packing for urgent work; see StartRequest::speedWeight. */
    double urgentSpeedWeight { 3 };
    /*! @brief Speed weight of other work; negative, so that it leaves fast executors to urgent work when it packs as
     * well elsewhere. */
    double normalSpeedWeight { -0.5 };
    /*! @brief Gangs and tasks with local data wait for their rack before they accept another one. */
    bool waitsForRack { true };
    /*! @brief Longest such wait, as a share of the extra run time on another rack. */
    double rackWaitShare { 0.5 };
    /*! @brief Time for which an executor is suspected after its tasks failed or stalled, ms; 0 never suspects. */
    double suspicionMs { 10000 };
    /*! @brief A job's tasks prefer executors on which none of its tasks failed. */
    bool avoidsFailedNodes { true };
    /*! @brief The last attempt of a job waits for executors without recent failures. */
    bool protectsLastAttempt { true };
    /*! @brief Time after which a run that goes on shows that its executor works, ms; executors that fail what they
     * start do so 30 to 300 ms later. */
    double trialMs { 300 };
    /*! @brief Number of tasks that may be in their trial time on an executor that is not proven. */
    std::size_t trialStarts { 2 };
    /*! @brief Time for which such a run proves its executor, counted from its start, ms. */
    double provenMs { 3000 };
    /*! @brief Delay before the first probe of a suspected executor, ms; it doubles with each probe that fails. */
    double probeDelayMs { 1000 };
    RetryLimits retry;
    /*! @brief Minimum time without progress after which a task counts as stalled, ms; executors list their tasks every
     * 0.9 s. */
    double minStallMs { 1800 };
    /*! @brief Runs that would not end before their executor departs are moved. */
    bool movesFromDepartingNodes { true };
    /*! @brief Run times are forecast from earlier runs of the queue; otherwise estimates are taken as they are. */
    bool learnsRunTimes { true };
    /*! @brief Waiting work of one priority is ordered by slack; otherwise by age. */
    bool ordersBySlack { true };
};

/**
 * @brief Reads a policy from TOML; keys that are absent keep their defaults.
 * @param text The document.
 * @param source Name of the document in error messages.
 * @return The policy.
 * @throws Error of kind invalidSetting that names the key, its value and what is allowed.
 */
[[nodiscard]] DecisionPolicy parseDecisionPolicy(std::string_view text, const std::string& source);

/**
 * @brief Reads a policy file.
 * @param path The file.
 * @return The policy.
 * @throws Error of kind invalidSetting if the file cannot be read or has a wrong key or value.
 */
[[nodiscard]] DecisionPolicy readDecisionPolicy(const std::filesystem::path& path);

/**
 * @brief Lists all keys with their ranges, defaults and meaning.
 * @return One line for each key.
 */
[[nodiscard]] std::string describeDecisionPolicy();

}
