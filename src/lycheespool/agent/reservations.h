#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/placement/resources.h"

#include <chrono>
#include <map>
#include <optional>

namespace lycheespool {

/*! @brief Capacity that an agent reserves for gangs between the two phases of their start. Does no I/O. */
class Reservations {
public:
    /*! @brief A reservation whose tasks are not started expires after this time. */
    static constexpr Duration reservationLifetime = std::chrono::seconds { 5 };
    /**
     * @brief Retention time of abandoned (released or stopped) attempts.
     *
     * Exceeds the maximum time that an order can be in transit, so that a delayed or repeated reserve order of an
     * abandoned attempt is refused.
     */
    static constexpr Duration abandonedRetention = std::chrono::seconds { 60 };

    /*! @brief Capacity that is reserved for one attempt of a job. */
    struct Reservation {
        Attempt attempt;
        Resources size;
        TimePoint expires;
    };

    /**
     * @brief Reserves capacity; a repeated call renews the reservation.
     * @param job The job.
     * @param attempt Its attempt.
     * @param size Total size of its tasks on this worker.
     * @param free Capacity that is not used by tasks.
     * @param now Current time.
     * @throws Error of kind overloaded if the capacity does not suffice, stale if the attempt was abandoned.
     */
    void reserve(const JobId& job, Attempt attempt, const Resources& size, const Resources& free, TimePoint now);

    /**
     * @brief Removes a reservation because its tasks are started now.
     * @param job The job.
     * @param attempt Its attempt.
     * @param now Current time.
     * @throws Error of kind conflict if there is no reservation for this attempt.
     */
    void consume(const JobId& job, Attempt attempt, TimePoint now);

    /**
     * @brief Abandons an attempt and all earlier ones; they cannot be reserved again.
     * @param job The job.
     * @param attempt The attempt.
     * @param now Current time.
     */
    void abandon(const JobId& job, Attempt attempt, TimePoint now);

    /**
     * @brief Checks if an attempt was abandoned.
     * @param job The job.
     * @param attempt The attempt.
     * @return True if abandon() was called for it or a later one within abandonedRetention.
     */
    [[nodiscard]] bool isAbandoned(const JobId& job, Attempt attempt) const;

    /**
     * @brief Removes expired reservations and abandoned attempts.
     * @param now Current time.
     */
    void expire(TimePoint now);

    /**
     * @brief Checks if there are no reservations.
     * @return True if no capacity is reserved.
     */
    [[nodiscard]] bool empty() const { return m_reservations.empty(); }

private:
    struct Abandoned {
        Attempt attempt;
        TimePoint expires;
    };

    std::map<JobId, Reservation> m_reservations;
    std::map<JobId, Abandoned> m_abandoned;
};

}
