#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/placement/resources.h"

#include <chrono>
#include <map>
#include <optional>

namespace lycheespool {

/*! @brief Capacity that an agent holds for gangs between the two phases of their start. Pure state. */
class Reservations {
public:
    /*! @brief A reservation that is not started lapses after this time. */
    static constexpr Duration holdTime = std::chrono::seconds { 5 };
    /**
     * @brief Time for which a released or stopped attempt is remembered.
     *
     * Exceeds the time for which an order can be under way, so that a delayed or repeated reserve of an attempt that
     * was given up is refused.
     */
    static constexpr Duration closedTime = std::chrono::seconds { 60 };

    /*! @brief Capacity that is held for one attempt of a job. */
    struct Reservation {
        Attempt attempt;
        Resources size;
        TimePoint expires;
    };

    /**
     * @brief Holds capacity; a repeated call renews the hold.
     * @param job The job.
     * @param attempt Its attempt.
     * @param size Capacity of all its tasks on this worker.
     * @param free Capacity that no task uses.
     * @param now Present time.
     * @throws Error of kind overloaded when the capacity does not suffice, stale when the attempt was given up.
     */
    void reserve(const JobId& job, Attempt attempt, const Resources& size, const Resources& free, TimePoint now);

    /**
     * @brief Ends a reservation because its tasks start now.
     * @param job The job.
     * @param attempt Its attempt.
     * @param now Present time.
     * @throws Error of kind conflict when there is no reservation for this attempt.
     */
    void use(const JobId& job, Attempt attempt, TimePoint now);

    /**
     * @brief Gives up an attempt and all earlier ones; they cannot be reserved again.
     * @param job The job.
     * @param attempt The attempt.
     * @param now Present time.
     */
    void close(const JobId& job, Attempt attempt, TimePoint now);

    /**
     * @brief Tells whether an attempt was given up.
     * @param job The job.
     * @param attempt The attempt.
     * @return True when close() was called for it or a later one within closedTime.
     */
    [[nodiscard]] bool isClosed(const JobId& job, Attempt attempt) const;

    /**
     * @brief Forgets what has expired.
     * @param now Present time.
     */
    void expire(TimePoint now);

    /**
     * @brief Tells whether capacity is held.
     * @return False when there is no reservation.
     */
    [[nodiscard]] bool empty() const { return m_reservations.empty(); }

private:
    struct Closed {
        Attempt attempt;
        TimePoint expires;
    };

    std::map<JobId, Reservation> m_reservations;
    std::map<JobId, Closed> m_closed;
};

}
