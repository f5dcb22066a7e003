#pragma once

#include "lycheespool/document/audit_record.h"

#include <cstddef>
#include <optional>
#include <string>

namespace lycheespool {

/*! @brief Filter for records of the audit trail; an absent field matches every record. */
struct AuditQuery {
    /*! @brief Section of an edit, or zone, worker or workspace of a system action. */
    std::optional<std::string> subject {};
    std::optional<std::string> who {};
    std::optional<WallTime> from {};
    /*! @brief Exclusive end of the time range. */
    std::optional<WallTime> to {};
    /*! @brief Maximum number of records returned. */
    std::size_t limit { 100 };

    /**
     * @brief Checks if a record matches.
     * @param record The record.
     * @return True when all fields match.
     */
    [[nodiscard]] bool matches(const AuditRecord& record) const;
};

}
