#pragma once

#include "lycheespool/request/client_answer.h"

#include <string>

namespace lycheespool {

/**
 * @brief Makes the answer to a request that did not run.
 * @param status HTTP status.
 * @param reason Why it was refused.
 * @param retryAfter Time after which the client should retry; absent if a retry cannot help.
 * @return The answer.
 */
[[nodiscard]] ClientAnswer notRunAnswer(
    unsigned status, std::string reason, std::optional<Duration> retryAfter = std::nullopt);

/**
 * @brief Makes the answer to a request that may have run.
 * @param reason What is known.
 * @return The answer; it asks the client to repeat the request with the same key.
 */
[[nodiscard]] ClientAnswer unknownAnswer(std::string reason);

/**
 * @brief Makes the answer to a request that ran.
 * @param status Status of the executor's answer.
 * @param body Body of the executor's answer.
 * @return The answer.
 */
[[nodiscard]] ClientAnswer doneAnswer(unsigned status, std::string body);

}
