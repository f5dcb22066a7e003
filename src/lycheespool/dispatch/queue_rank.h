#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace lycheespool {

/*! @brief What the order of waiting steps depends on. */
struct RankInput {
    /*! @brief Priority of the queue, 0 is the most important. */
    std::uint32_t priority { 0 };
    /*! @brief The step is covered by its workspace's guarantee. */
    bool isGuaranteed { false };
    /*! @brief Time since the submission or since the occurrence was due, ms. */
    std::int64_t ageMs { 0 };
    /*! @brief Latency objective of the job, ms. */
    std::int64_t objectiveMs { 0 };
    /*! @brief Forecast of the run time of the longest chain that is left, ms. */
    std::int64_t remainingMs { 0 };
    /*! @brief Factor by which objective and run time may exceed their forecasts, at least 1. */
    double uncertainty { 1 };
};

/**
 * @brief Place of a step in the order of starts; smaller is earlier.
 *
 * Guaranteed work comes first. Work that can no longer end within three times its objective, after which it is worth
 * nothing to its caller, comes last. Between them priority decides, then the least slack.
 */
struct QueueRank {
    bool isWorthless { false };
    std::uint32_t tier { 0 };
    bool isLate { false };
    std::int64_t slackMs { 0 };

    friend auto operator<=>(const QueueRank&, const QueueRank&) = default;
};

/*! @brief A job is worth nothing to its caller after this multiple of its objective. */
inline constexpr std::int64_t worthlessAfterObjectives = 3;

/**
 * @brief Ranks a waiting step.
 * @param input What the rank depends on.
 * @return The rank.
 */
[[nodiscard]] inline QueueRank rankOf(const RankInput& input)
{
    const auto slack = input.objectiveMs - input.ageMs - input.remainingMs;
    // Work of which it is not certain that it comes too late must not be given up.
    const auto upper
        = input.uncertainty * static_cast<double>(worthlessAfterObjectives * input.objectiveMs - input.remainingMs);
    const auto lastUse = static_cast<std::int64_t>(upper) - input.ageMs;
    QueueRank rank;
    rank.isWorthless = lastUse < 0 && !input.isGuaranteed;
    rank.tier = input.isGuaranteed ? 0 : input.priority + 1;
    rank.isLate = slack < 0;
    rank.slackMs = rank.isLate ? lastUse : slack;
    return rank;
}

}
