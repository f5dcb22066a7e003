#pragma once

#include "lycheespool/document/document_state.h"
#include "lycheespool/wire/messages.h"

namespace lycheespool {

/*! @brief Age sent when the document is not known; adding round-trip times to it cannot overflow. */
inline constexpr std::uint64_t unknownAgeMs = std::uint64_t { 1 } << 62;

/**
 * @brief Makes the freshness proof of a reply.
 * @param state What this process knows.
 * @param now Time at which the reply is written.
 * @return The proof; its age is rounded up, and unknownAgeMs when the document is not known.
 */
[[nodiscard]] Freshness toFreshness(const DocumentState& state, TimePoint now);

}
