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
    throw Error { ErrorKind::stale, fmt::format("revision {} of the document has two contents", head.revision.value()),
        "the table lost accepted edits; restore it, then restart this process" };
}

bool isKnown(const DocumentState& state, const HeadRecord& head)
{
    return state.document && head.revision == state.head.revision;
}

void refresh(DocumentState& state, TimePoint sentAt)
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
        if (head.revision < state.highest)
            return;
        if (!isKnown(state, head)) {
            state.document = std::move(shared);
            state.head = head;
            state.highest = head.revision;
        }
        refresh(state, sentAt);
        isAccepted = true;
    });
    return isAccepted;
}

bool DocumentCache::confirm(const HeadRecord& head, TimePoint sentAt)
{
    bool isConfirmed = false;
    m_state.update([&](DocumentState& state) {
        checkDigest(state, head);
        isConfirmed = isKnown(state, head);
        if (isConfirmed)
            refresh(state, sentAt);
    });
    return isConfirmed;
}

void DocumentCache::observe(Revision revision)
{
    m_state.update([&](DocumentState& state) { state.highest = std::max(state.highest, revision); });
}

}
