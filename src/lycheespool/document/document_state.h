#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/document/document.h"
#include "lycheespool/document/head_record.h"

#include <chrono>
#include <memory>
#include <optional>

namespace lycheespool {

/*! @brief Maximum age of a document state that a process may act on. */
inline constexpr Duration freshnessLimit = std::chrono::seconds { 2 };

/*! @brief Document state of a process; an immutable snapshot. */
struct DocumentState {
    /*! @brief Latest parsed document; null until the first read. */
    std::shared_ptr<const Document> document;
    /*! @brief Head row of the cached document. */
    HeadRecord head;
    /*! @brief Highest revision that the table or another process reported. */
    Revision highestRevision;
    /*! @brief Send time of the latest table read that returned this head. */
    std::optional<TimePoint> sentAt;

    /**
     * @brief Returns the age of the state.
     * @param now Current time.
     * @return Time since the table read was sent; empty when the document was never read or a newer revision is known.
     */
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;

    /**
     * @brief Checks if the process may act on the document.
     * @param now Current time.
     * @return True when the age is at most freshnessLimit.
     */
    [[nodiscard]] bool isFresh(TimePoint now) const;
};

}
