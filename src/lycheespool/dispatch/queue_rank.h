#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace lycheespool {

/*! @brief Inputs of the rank of a waiting step. */
struct RankInput {
    /*! @brief Priority of the queue; 0 is the most important. */
    std::uint32_t priority { 0 };
    /*! @brief The step is covered by its workspace's guarantee. */
    bool isGuaranteed { false };
    /*! @brief Time since the submission, or since the occurrence was due, ms. */
    std::int64_t ageMs { 0 };
    /*! @brief Latency objective of the job, ms. */
    std::int64_t objectiveMs { 0 };
    /*! @brief Forecast of the run time of the longest remaining chain of steps, ms. */
    std::int64_t remainingMs { 0 };
    /*! @brief Factor by which the objective and the run time may exceed their forecasts, at least 1. */
    double uncertainty { 1 };
};

/**
 * @brief Rank of a step in the start order; a smaller rank starts earlier.
 *
 * Guaranteed work comes first. Work that can no longer end within three times its objective comes last, since its
 * caller then gives no credit for it. Other work is ordered by priority, then by slack, least first.
 */
struct QueueRank {
    bool isWithoutCredit { false };
    std::uint32_t tier { 0 };
    bool isLate { false };
    std::int64_t slackMs { 0 };

    friend auto operator<=>(const QueueRank&, const QueueRank&) = default;
};

/*! @brief A job that ends after this multiple of its objective is without credit to its caller. */
inline constexpr std::int64_t creditLimitObjectives = 3;

/**
 * @brief Ranks a waiting step.
 * @param input What the rank depends on.
 * @return The rank.
 */
[[nodiscard]] inline QueueRank rankOf(const RankInput& input)
{
    const auto slack = input.objectiveMs - input.ageMs - input.remainingMs;
    // Work must not be given up unless it is certain to end too late; hence the uncertainty.
    const auto creditTimeMs
        = input.uncertainty * static_cast<double>(creditLimitObjectives * input.objectiveMs - input.remainingMs);
    const auto creditSlackMs = static_cast<std::int64_t>(creditTimeMs) - input.ageMs;
    QueueRank rank;
    rank.isWithoutCredit = creditSlackMs < 0 && !input.isGuaranteed;
    rank.tier = input.isGuaranteed ? 0 : input.priority + 1;
    rank.isLate = slack < 0;
    rank.slackMs = rank.isLate ? creditSlackMs : slack;
    return rank;
}

/**
 * @brief Ranks a waiting step by its age alone within its priority, oldest first.
 * @param input What the rank depends on.
 * @return The rank.
 */
[[nodiscard]] inline QueueRank rankByAge(const RankInput& input)
{
    QueueRank rank;
    rank.tier = input.isGuaranteed ? 0 : input.priority + 1;
    rank.slackMs = -input.ageMs;
    return rank;
}

}
