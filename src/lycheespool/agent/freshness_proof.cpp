#include "lycheespool/agent/freshness_proof.h"

#include "lycheespool/core/error.h"

#include <algorithm>

namespace lycheespool {

namespace {

// Caps the age, so that a malicious value cannot overflow the subtraction; ages above one hour need no distinction.
constexpr std::uint64_t maxAgeMs = 3'600'000;

}

void FreshnessProof::observe(const Freshness& freshness, TimePoint sent)
{
    if (freshness.revision < m_freshness.revision)
        return;
    const auto provenAt = sent - std::chrono::milliseconds { std::min(freshness.ageMs, maxAgeMs) };
    if (m_provenAt && freshness.revision == m_freshness.revision && provenAt < *m_provenAt)
        return;
    m_freshness = freshness;
    m_provenAt = provenAt;
}

bool FreshnessProof::isRecent(TimePoint now) const { return m_provenAt && now - *m_provenAt <= maxAge; }

bool FreshnessProof::covers(Revision revision, TimePoint now) const
{
    return isRecent(now) && m_freshness.revision >= revision;
}

void FreshnessProof::requireStartAllowed(const ZoneId& zone, Revision revision, TimePoint now) const
{
    if (!isRecent(now))
        throw Error { ErrorKind::stale, "freshness proof is older than 2 s",
            "retry when an entry can reach the table again" };
    if (m_freshness.revision < revision)
        throw Error { ErrorKind::stale, "the agent's document revision is lower than the order's",
            "retry after the next heartbeat" };
    if (std::ranges::find(m_freshness.zonesOut, zone) != m_freshness.zonesOut.end())
        throw Error { ErrorKind::forbidden, "zone " + zone.value() + " is out of service", "use another zone" };
}

}
