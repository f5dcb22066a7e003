#pragma once

#include "lycheespool/document/edit_token.h"
#include "lycheespool/document/section_id.h"

#include <cstdint>

namespace lycheespool {

/*! @brief Data for a query of an edit's outcome. */
struct EditTicket {
    SectionId section;
    EditToken token;
    /*! @brief Revision of the section that the editor saw. */
    Revision base;
    /*! @brief Version of the head row that the commit required; 0 when unknown. */
    std::uint64_t headVersion { 0 };
};

}
