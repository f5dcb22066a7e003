#pragma once

#include "lycheespool/document/audit_record.h"

#include <cstddef>
#include <optional>
#include <string>

namespace lycheespool {

/*! @brief Selects records of the audit trail; an absent field selects everything. */
struct AuditQuery {
    /*! @brief Section of an edit, or zone, worker or workspace of an act of the system. */
    std::optional<std::string> subject {};
    std::optional<std::string> who {};
    std::optional<WallTime> from {};
    /*! @brief Excluded end of the time range. */
    std::optional<WallTime> to {};
    /*! @brief Most records in the answer. */
    std::size_t limit { 100 };

    /**
     * @brief Tells whether a record is selected.
     * @param record The record.
     * @return True when all fields match.
     */
    [[nodiscard]] bool matches(const AuditRecord& record) const;
};

}
