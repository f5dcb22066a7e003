#include "lycheespool/document/document_cache.h"

#include "lycheespool/core/error.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace lycheespool {

namespace {

void checkDigest(const DocumentState& state, const HeadRecord& head)
{
    if (!state.document || head.revision != state.head.revision || head.digest == state.head.digest)
        return;
    throw Error { ErrorKind::stale,
        fmt::format("two different contents exist for revision {} of the document", head.revision.value()),
        "the table lost accepted edits; restore it, then restart this process" };
}

bool isCurrent(const DocumentState& state, const HeadRecord& head)
{
    return state.document && head.revision == state.head.revision;
}

void updateSentAt(DocumentState& state, TimePoint sentAt)
{
    state.sentAt = state.sentAt ? std::max(*state.sentAt, sentAt) : sentAt;
}

}

bool DocumentCache::accept(Document document, const HeadRecord& head, TimePoint sentAt)
{
    bool isAccepted = false;
    auto shared = std::make_shared<const Document>(std::move(document));
    m_state.update([&](DocumentState& state) {
        checkDigest(state, head);
        if (head.revision < state.highestRevision)
            return;
        if (!isCurrent(state, head)) {
            state.document = std::move(shared);
            state.head = head;
            state.highestRevision = head.revision;
        }
        updateSentAt(state, sentAt);
        isAccepted = true;
    });
    return isAccepted;
}

bool DocumentCache::confirm(const HeadRecord& head, TimePoint sentAt)
{
    bool isConfirmed = false;
    m_state.update([&](DocumentState& state) {
        checkDigest(state, head);
        isConfirmed = isCurrent(state, head);
        if (isConfirmed)
            updateSentAt(state, sentAt);
    });
    return isConfirmed;
}

void DocumentCache::observe(Revision revision)
{
    m_state.update([&](DocumentState& state) { state.highestRevision = std::max(state.highestRevision, revision); });
}

}
