#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/wire/messages.h"

#include <chrono>
#include <optional>

namespace lycheespool {

/**
 * @brief Latest state of the document that is known from replies to heartbeats.
 *
 * The age is counted from the sending of the heartbeat, so a delayed reply can only make the proof appear older.
 */
class FreshnessProof {
public:
    /*! @brief Maximum age of a proof that permits a start. */
    static constexpr Duration maxAge = std::chrono::seconds { 2 };

    /**
     * @brief Records the freshness from a reply; ignores a revision lower than the highest received.
     * @param freshness Freshness in the reply.
     * @param sent Time at which the heartbeat was sent.
     */
    void observe(const Freshness& freshness, TimePoint sent);

    /**
     * @brief Checks if the proof is recent enough.
     * @param now Current time.
     * @return False if the proof is too old or if there is none.
     */
    [[nodiscard]] bool isRecent(TimePoint now) const;

    /**
     * @brief Checks if the proof is recent and includes a revision.
     * @param revision Revision in an order.
     * @param now Current time.
     * @return False if an additional heartbeat may provide a sufficient proof.
     */
    [[nodiscard]] bool covers(Revision revision, TimePoint now) const;

    /**
     * @brief Returns the highest revision received.
     * @return The revision.
     */
    [[nodiscard]] Revision revision() const { return m_freshness.revision; }

    /**
     * @brief Checks that a task may be started.
     * @param zone Zone of the worker.
     * @param revision Revision on which the leader based its decision.
     * @param now Current time.
     * @throws Error of kind stale if the proof is too old or of a lower revision, forbidden if the zone is out of
     * service.
     */
    void requireStartAllowed(const ZoneId& zone, Revision revision, TimePoint now) const;

private:
    Freshness m_freshness;
    /*! @brief Latest time at which the document is proven to have been up to date. */
    std::optional<TimePoint> m_provenAt;
};

}
