#pragma once

#include "lycheespool/core/ids.h"

#include <string>
#include <string_view>

namespace lycheespool {

/*! @brief Value of the row `lease/scheduler/<domain>`. */
struct LeaseRecord {
    EntryId holder;
    /*! @brief Distinguishes the holder from an earlier process with the same name. */
    Incarnation incarnation;
    Epoch epoch;

    friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;

    /**
     * @brief Returns the key of a domain's row.
     * @param domain Name of the scheduling domain.
     * @return The key.
     */
    [[nodiscard]] static std::string key(const std::string& domain) { return "lease/scheduler/" + domain; }

    /**
     * @brief Encodes the record for its row.
     * @return JSON text.
     */
    [[nodiscard]] std::string encode() const;

    /**
     * @brief Decodes a row.
     * @param text JSON text.
     * @return The record.
     * @throws Error of kind invalidArgument.
     */
    [[nodiscard]] static LeaseRecord decode(std::string_view text);
};

}
