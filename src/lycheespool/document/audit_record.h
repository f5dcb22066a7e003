#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/document/wall_time.h"

#include <string>

namespace lycheespool {

/*! @brief Row `audit/...`: who did what, for the operators' later questions. */
struct AuditRecord {
    /*! @brief Operator, or the process for an act of the system. */
    std::string who;
    WallTime time;
    /*! @brief What was done: `edit`, or the name of an act of the system. */
    std::string act;
    /*! @brief Section of an edit, or the subject of an act: a zone, worker or workspace. */
    std::string subject;
    std::string before;
    std::string after;
    /*! @brief Process that accepted the edit or performed the act. */
    EntryId process;
    /*! @brief Revision of the document; 0 for an act of the system. */
    Revision revision;
};

}
