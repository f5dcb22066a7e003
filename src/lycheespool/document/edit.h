#pragma once

#include "lycheespool/document/edit_token.h"
#include "lycheespool/document/schema_version.h"
#include "lycheespool/document/section_id.h"
#include "lycheespool/document/wall_time.h"

#include <string>

namespace lycheespool {

/*! @brief Request to replace the text of one section. */
struct Edit {
    SectionId section;
    /*! @brief Revision of the section that the editor saw; 0 when the section did not exist. */
    Revision base;
    /*! @brief New text; an empty text removes a workspace. */
    std::string text;
    SchemaVersion schema { currentSchema };
    /*! @brief Name of the operator, already authenticated by the caller. */
    std::string author;
    /*! @brief Unique for each edit; repeated attempts of the same edit use the same token. */
    EditToken token;
    WallTime time;
    /*! @brief Accepts warnings, such as a zone drain that makes a guarantee impossible. */
    bool overrideWarnings { false };
};

}
