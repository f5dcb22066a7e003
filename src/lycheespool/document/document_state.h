#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/document/document.h"
#include "lycheespool/document/head_record.h"

#include <chrono>
#include <memory>
#include <optional>

namespace lycheespool {

/*! @brief Longest age of the knowledge that a process may act on. */
inline constexpr Duration freshnessLimit = std::chrono::seconds { 2 };

/*! @brief What a process knows about the document; an immutable snapshot. */
struct DocumentState {
    /*! @brief Latest parsed document; null until the first read. */
    std::shared_ptr<const Document> document;
    /*! @brief Head that the document was made from. */
    HeadRecord head;
    /*! @brief Highest revision that the process heard of, from the table or from another process. */
    Revision highest;
    /*! @brief Sending time of the latest table read that showed this head. */
    std::optional<TimePoint> sentAt;

    /**
     * @brief Measures how old the knowledge is.
     * @param now Present time.
     * @return Time since the table read was sent; nothing when the document was never read or a newer one is known.
     */
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;

    /**
     * @brief Tells whether the process may act on the document.
     * @param now Present time.
     * @return True when the age is at most freshnessLimit.
     */
    [[nodiscard]] bool isFresh(TimePoint now) const;
};

}
