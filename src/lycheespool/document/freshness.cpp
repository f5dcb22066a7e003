#include "lycheespool/document/freshness.h"

#include <algorithm>
#include <chrono>

namespace lycheespool {

Freshness toFreshness(const DocumentState& state, TimePoint now)
{
    Freshness freshness;
    freshness.ageMs = unknownAgeMs;
    if (!state.document)
        return freshness;
    freshness.revision = state.head.revision;
    freshness.digest = state.head.digest;
    freshness.zonesOut = state.document->zonesOutOfService();
    if (const auto age = state.age(now))
        freshness.ageMs = static_cast<std::uint64_t>(
            std::max<std::int64_t>(0, std::chrono::ceil<std::chrono::milliseconds>(*age).count()));
    return freshness;
}

}
