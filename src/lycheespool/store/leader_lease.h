#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace lycheespool {

/*! @brief Time constants of a leader lease. */
struct LeaderLeaseTimes {
    /*! @brief Time between two renewals. */
    Duration renewInterval { std::chrono::seconds { 1 } };
    /*! @brief The holder may act this long after it sent its last successful renewal. */
    Duration holderTerm { std::chrono::seconds { 3 } };
    /**
     * @brief A candidate takes over when it saw the row unchanged this long.
     *
     * Exceeds holderTerm by more than a clock drift of 1% on both sides, so two holders never act at once.
     */
    Duration takeoverDelay { std::chrono::seconds { 5 } };
};

/**
 * @brief Judges a leader lease in a table row by the monotonic clock of this process.
 *
 * Pure state: the owner reads and writes the row and reports what it saw.
 */
class LeaderLease {
public:
    LeaderLease() = default;

    /**
     * @brief Constructs a lease with other times.
     * @param times The times; takeoverDelay must exceed holderTerm by more than the clock drift.
     */
    explicit LeaderLease(const LeaderLeaseTimes& times)
        : m_times { times }
    {
    }

    /**
     * @brief Returns the timing parameters of the lease.
     * @return The times.
     */
    [[nodiscard]] const LeaderLeaseTimes& times() const { return m_times; }

    /**
     * @brief Records a successful read of the row.
     * @param version Version of the row, 0 when there is none.
     * @param now Time after the read.
     */
    void observe(std::uint64_t version, TimePoint now)
    {
        if (m_observed && m_observed->version == version)
            return;
        m_observed = Observation { version, now };
    }

    /*! @brief Forgets how long the row stood still, after a time in which the row could not be read. */
    void forgetObservation() { m_observed.reset(); }

    /**
     * @brief Checks if this process may try to acquire the lease.
     * @param now Present time; the row must have been read just before.
     * @return True when there is no row or it stayed unchanged for takeoverDelay.
     */
    [[nodiscard]] bool mayTakeOver(TimePoint now) const
    {
        return m_observed && (m_observed->version == 0 || now - m_observed->since >= m_times.takeoverDelay);
    }

    /**
     * @brief Returns the time for which the row has been seen unchanged.
     * @param now Present time; the row must have been read just before.
     * @return The time, zero when the row was never read.
     */
    [[nodiscard]] Duration unchangedFor(TimePoint now) const
    {
        return m_observed ? now - m_observed->since : Duration {};
    }

    /**
     * @brief Records that this process wrote the row.
     * @param epoch Epoch in the row.
     * @param version New version of the row.
     * @param sent Time before the write was sent.
     */
    void held(Epoch epoch, std::uint64_t version, TimePoint sent)
    {
        m_epoch = epoch;
        m_validUntil = sent + m_times.holderTerm;
        m_observed = Observation { version, sent };
    }

    /*! @brief Records that another process holds the lease. */
    void lost() { m_validUntil.reset(); }

    /**
     * @brief Checks if this process may act as leader; must be called before each effect.
     * @param now Present time.
     * @return True within holderTerm of the last successful renewal.
     */
    [[nodiscard]] bool isHeld(TimePoint now) const { return m_validUntil && now < *m_validUntil; }

    /**
     * @brief Checks if this process wrote the row last, even if its term has expired.
     * @return True until lost().
     */
    [[nodiscard]] bool wasHeld() const { return m_validUntil.has_value(); }

    /**
     * @brief Returns the last seen version of the row.
     * @return Version, 0 when the row did not exist.
     */
    [[nodiscard]] std::uint64_t version() const { return m_observed ? m_observed->version : 0; }

    /**
     * @brief Returns the epoch of the last term of this process.
     * @return The epoch.
     */
    [[nodiscard]] Epoch epoch() const { return m_epoch; }

private:
    struct Observation {
        std::uint64_t version;
        TimePoint since;
    };

    LeaderLeaseTimes m_times;
    std::optional<Observation> m_observed;
    std::optional<TimePoint> m_validUntil;
    Epoch m_epoch;
};

}
