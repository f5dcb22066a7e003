#pragma once

#include "lycheespool/document/document_state.h"
#include "lycheespool/wire/messages.h"

namespace lycheespool {

/*! @brief Age that is sent while the document is unknown; adding round-trip times to it cannot overflow. */
inline constexpr std::uint64_t unknownAgeMs = std::uint64_t { 1 } << 62;

/**
 * @brief Creates the freshness proof of a reply.
 * @param state Document state of this process.
 * @param now Time at which the reply is written.
 * @return The proof; its age is rounded up to milliseconds, or unknownAgeMs when the document or its age is unknown.
 */
[[nodiscard]] Freshness toFreshness(const DocumentState& state, TimePoint now);

}
