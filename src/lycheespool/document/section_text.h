#pragma once

#include "lycheespool/document/schema_version.h"
#include "lycheespool/document/section_id.h"

#include <string>

namespace lycheespool {

/*! @brief Text of one section as operators write it, with its own table headers. */
struct SectionText {
    SectionId section;
    std::string text;
    SchemaVersion schema { currentSchema };
};

}
