#pragma once

#include "lycheespool/core/published.h"
#include "lycheespool/document/document_state.h"

namespace lycheespool {

/**
 * @brief Caches the latest document known to this process; never returns to a lower revision.
 *
 * Thread-safe. Threads on a hot path keep a Reader of published().
 */
class DocumentCache {
public:
    /**
     * @brief Stores a document that was read from the table.
     * @param document Parsed document with revision and digest of the head.
     * @param head The head row.
     * @param sentAt Time taken before the read of the head row was sent.
     * @return False, without a change, when a higher revision is already known.
     * @throws Error of kind stale when the cached revision is the same but has another digest.
     */
    bool accept(Document document, const HeadRecord& head, TimePoint sentAt);

    /**
     * @brief Records that a read of the table returned this head, which extends the freshness of the cached document.
     * @param head The head row.
     * @param sentAt Time taken before its read was sent.
     * @return False when the document of this head is not cached.
     * @throws Error of kind stale when the cached revision is the same but has another digest.
     */
    bool confirm(const HeadRecord& head, TimePoint sentAt);

    /**
     * @brief Records that a revision exists; the cache is not fresh until it holds that revision.
     * @param revision Revision that an edit created or another process reported.
     */
    void observe(Revision revision);

    /*! @copydoc DocumentState::isFresh */
    [[nodiscard]] bool isFresh(TimePoint now) const { return state()->isFresh(now); }

    /**
     * @brief Returns the current state.
     * @return Snapshot; never null.
     */
    [[nodiscard]] Published<DocumentState>::Snapshot state() const { return m_state.load(); }

    /**
     * @brief Returns the published state, for readers on a hot path.
     * @return Reference that is valid for the lifetime of the cache.
     */
    [[nodiscard]] const Published<DocumentState>& published() const { return m_state; }

private:
    Published<DocumentState> m_state;
};

}
