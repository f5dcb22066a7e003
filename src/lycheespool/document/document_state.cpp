#include "lycheespool/document/document_state.h"

namespace lycheespool {

std::optional<Duration> DocumentState::age(TimePoint now) const
{
    if (!document || !sentAt || highestRevision > head.revision)
        return std::nullopt;
    return now - *sentAt;
}

bool DocumentState::isFresh(TimePoint now) const
{
    const auto currentAge = age(now);
    return currentAge && *currentAge <= freshnessLimit;
}

}
