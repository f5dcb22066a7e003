#include "lycheespool/request/answers.h"

#include <chrono>
#include <utility>

namespace lycheespool {

namespace {

constexpr unsigned gatewayTimeout = 504;
// An agent reconnects and announces itself within a second after its connection broke; an earlier retry learns nothing.
constexpr Duration unknownRetryAfter = std::chrono::seconds { 1 };

}

ClientAnswer notRunAnswer(unsigned status, std::string reason, std::optional<Duration> retryAfter)
{
    ClientAnswer answer;
    answer.outcome = Outcome::notRun;
    answer.status = status;
    answer.reason = std::move(reason);
    answer.retryAfter = retryAfter;
    return answer;
}

ClientAnswer unknownAnswer(std::string reason)
{
    ClientAnswer answer;
    answer.outcome = Outcome::unknown;
    answer.status = gatewayTimeout;
    answer.reason = std::move(reason) + "; send the request again with the same key to learn its outcome";
    answer.retryAfter = unknownRetryAfter;
    return answer;
}

ClientAnswer doneAnswer(unsigned status, std::string body)
{
    ClientAnswer answer;
    answer.outcome = Outcome::done;
    answer.status = status;
    answer.body = std::move(body);
    return answer;
}

}
