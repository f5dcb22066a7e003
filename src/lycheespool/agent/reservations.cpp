#include "lycheespool/agent/reservations.h"

#include "lycheespool/core/error.h"

#include <algorithm>

namespace lycheespool {

void Reservations::reserve(
    const JobId& job, Attempt attempt, const Resources& size, const Resources& free, TimePoint now)
{
    expire(now);
    if (isClosed(job, attempt))
        throw Error { ErrorKind::stale, "the attempt was given up", "use a new attempt" };
    auto room = free;
    for (const auto& [other, reservation] : m_reservations) {
        if (other == job)
            continue;
        if (!reservation.size.fitsInto(room))
            room = {};
        else
            room -= reservation.size;
    }
    if (!size.fitsInto(room))
        throw Error { ErrorKind::overloaded, "the tasks exceed the free capacity of the worker", "use another worker" };
    m_reservations.insert_or_assign(job, Reservation { attempt, size, now + holdTime });
}

void Reservations::use(const JobId& job, Attempt attempt, TimePoint now)
{
    expire(now);
    const auto it = m_reservations.find(job);
    if (it == m_reservations.end() || it->second.attempt != attempt)
        throw Error { ErrorKind::conflict, "there is no reservation for this attempt", "reserve first" };
    m_reservations.erase(it);
}

void Reservations::close(const JobId& job, Attempt attempt, TimePoint now)
{
    auto& closed = m_closed[job];
    closed = Closed { std::max(closed.attempt, attempt), now + closedTime };
    const auto it = m_reservations.find(job);
    if (it != m_reservations.end() && it->second.attempt <= attempt)
        m_reservations.erase(it);
}

bool Reservations::isClosed(const JobId& job, Attempt attempt) const
{
    const auto it = m_closed.find(job);
    return it != m_closed.end() && attempt <= it->second.attempt;
}

void Reservations::expire(TimePoint now)
{
    std::erase_if(m_reservations, [&](const auto& it) { return it.second.expires <= now; });
    std::erase_if(m_closed, [&](const auto& it) { return it.second.expires <= now; });
}

}
