#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/document/wall_time.h"

#include <string>

namespace lycheespool {

/*! @brief Row `audit/...` of the audit trail. */
struct AuditRecord {
    /*! @brief Operator, or the process for a system action. */
    std::string who;
    WallTime time;
    /*! @brief `edit`, or the name of a system action. */
    std::string act;
    /*! @brief Section of an edit, or the zone, worker or workspace of a system action. */
    std::string subject;
    std::string before;
    std::string after;
    /*! @brief Process that accepted the edit or performed the action. */
    EntryId process;
    /*! @brief Revision of the document; 0 for a system action. */
    Revision revision;
};

}
