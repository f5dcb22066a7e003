#pragma once

#include "lycheespool/core/published.h"
#include "lycheespool/document/document_state.h"

namespace lycheespool {

/**
 * @brief What this process knows about the document; never goes to a lower revision.
 *
 * Usable from several threads. Threads on a hot path keep a Reader of published().
 */
class DocumentCache {
public:
    /**
     * @brief Takes a document that was read from the table.
     * @param document Parsed document with revision and digest of the head.
     * @param head The head row.
     * @param sentAt Time before the read of the head row was sent.
     * @return False when a higher revision is known already; nothing changes then.
     * @throws Error of kind stale when the known revision has another digest.
     */
    bool accept(Document document, const HeadRecord& head, TimePoint sentAt);

    /**
     * @brief Records that the table still has a head.
     * @param head The head row.
     * @param sentAt Time before its read was sent.
     * @return False when the document of this head is not the known one.
     * @throws Error of kind stale when the known revision has another digest.
     */
    bool confirm(const HeadRecord& head, TimePoint sentAt);

    /**
     * @brief Records that a revision exists; the cache is not fresh until it has that revision.
     * @param revision Revision that an edit made or another process reported.
     */
    void observe(Revision revision);

    /*! @copydoc DocumentState::isFresh */
    [[nodiscard]] bool isFresh(TimePoint now) const { return state()->isFresh(now); }

    /**
     * @brief Gives everything known at present.
     * @return Never null.
     */
    [[nodiscard]] Published<DocumentState>::Snapshot state() const { return m_state.load(); }

    /**
     * @brief Gives the cell, for readers on a hot path.
     * @return Valid for the lifetime of the cache.
     */
    [[nodiscard]] const Published<DocumentState>& published() const { return m_state; }

private:
    Published<DocumentState> m_state;
};

}
