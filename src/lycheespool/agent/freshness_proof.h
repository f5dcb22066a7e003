#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/wire/messages.h"

#include <chrono>
#include <optional>

namespace lycheespool {

/**
 * @brief Best knowledge of the document that replies to heartbeats have shown.
 *
 * The age counts from the sending of the heartbeat, so a delayed reply can only make the proof look older.
 */
class FreshnessProof {
public:
    /*! @brief Oldest proof that permits a start. */
    static constexpr Duration maxAge = std::chrono::seconds { 2 };

    /**
     * @brief Takes the freshness of a reply; one of a lower revision than the highest seen is ignored.
     * @param freshness Freshness in the reply.
     * @param sent Time at which the heartbeat was sent.
     */
    void observe(const Freshness& freshness, TimePoint sent);

    /**
     * @brief Tells whether the proof is recent enough.
     * @param now Present time.
     * @return False also when there is no proof.
     */
    [[nodiscard]] bool isRecent(TimePoint now) const;

    /**
     * @brief Tells whether the proof is recent and knows a revision.
     * @param revision Revision that an order names.
     * @param now Present time.
     * @return False when an extra heartbeat may help.
     */
    [[nodiscard]] bool covers(Revision revision, TimePoint now) const;

    /**
     * @brief Gives the highest revision seen.
     * @return The revision.
     */
    [[nodiscard]] Revision revision() const { return m_freshness.revision; }

    /**
     * @brief Checks that a task may start.
     * @param zone Zone of the worker.
     * @param revision Revision that the leader decided on.
     * @param now Present time.
     * @throws Error of kind stale when the proof is too old or of a lower revision, forbidden when the zone is out of
     * service.
     */
    void requireStart(const ZoneId& zone, Revision revision, TimePoint now) const;

private:
    Freshness m_freshness;
    /*! @brief Time at which the document was certainly up to date. */
    std::optional<TimePoint> m_provenAt;
};

}
