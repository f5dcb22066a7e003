#include "lycheespool/agent/reservations.h"

#include "lycheespool/core/error.h"

#include <algorithm>

namespace lycheespool {

void Reservations::reserve(
    const JobId& job, Attempt attempt, const Resources& size, const Resources& free, TimePoint now)
{
    expire(now);
    if (isAbandoned(job, attempt))
        throw Error { ErrorKind::stale, "the attempt was abandoned", "use a new attempt" };
    auto remaining = free;
    for (const auto& [other, reservation] : m_reservations) {
        if (other == job)
            continue;
        if (!reservation.size.fitsInto(remaining))
            remaining = {};
        else
            remaining -= reservation.size;
    }
    if (!size.fitsInto(remaining))
        throw Error { ErrorKind::overloaded, "the tasks exceed the free capacity of the worker", "use another worker" };
    m_reservations.insert_or_assign(job, Reservation { attempt, size, now + reservationLifetime });
}

void Reservations::consume(const JobId& job, Attempt attempt, TimePoint now)
{
    expire(now);
    const auto it = m_reservations.find(job);
    if (it == m_reservations.end() || it->second.attempt != attempt)
        throw Error { ErrorKind::conflict, "there is no reservation for this attempt", "reserve the capacity first" };
    m_reservations.erase(it);
}

void Reservations::abandon(const JobId& job, Attempt attempt, TimePoint now)
{
    auto& abandoned = m_abandoned[job];
    abandoned = Abandoned { std::max(abandoned.attempt, attempt), now + abandonedRetention };
    const auto it = m_reservations.find(job);
    if (it != m_reservations.end() && it->second.attempt <= attempt)
        m_reservations.erase(it);
}

bool Reservations::isAbandoned(const JobId& job, Attempt attempt) const
{
    const auto it = m_abandoned.find(job);
    return it != m_abandoned.end() && attempt <= it->second.attempt;
}

void Reservations::expire(TimePoint now)
{
    std::erase_if(m_reservations, [&](const auto& it) { return it.second.expires <= now; });
    std::erase_if(m_abandoned, [&](const auto& it) { return it.second.expires <= now; });
}

}
