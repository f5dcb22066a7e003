#pragma once

#include "lycheespool/document/edit_token.h"
#include "lycheespool/document/schema_version.h"
#include "lycheespool/document/section_text.h"
#include "lycheespool/document/wall_time.h"

#include <string>

namespace lycheespool {

/*! @brief Row `document/section/<name>`. */
struct SectionRecord {
    /*! @brief Document revision of the section's last change. */
    Revision revision;
    SectionText content;
    std::string author;
    EditToken token;
    WallTime time;
};

}
