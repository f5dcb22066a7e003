#pragma once

#include "lycheespool/core/error.h"
#include "lycheespool/document/edit_status.h"
#include "lycheespool/document/edit_ticket.h"
#include "lycheespool/document/finding.h"
#include "lycheespool/document/section_conflict.h"

#include <optional>
#include <string>

namespace lycheespool {

/*! @brief Result of an edit. */
struct EditResult {
    EditStatus status { EditStatus::notAccepted };
    /*! @brief New revision of document and section when accepted. */
    Revision revision;
    /*! @brief Reason and remedy when not accepted. */
    std::optional<Error> error;
    std::optional<SectionConflict> conflict;
    /*! @brief Warnings that the edit overrides or would have to override. */
    Findings findings;
    EditTicket ticket;
};

}
