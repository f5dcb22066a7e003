#pragma once

#include "lycheespool/document/document.h"
#include "lycheespool/document/section_text.h"

namespace lycheespool::detail {

/**
 * @brief Parses one section of schema 1 into a document.
 * @param section Text of the section, not empty.
 * @param document Receives the contents.
 * @throws Error of kind invalidArgument that names section, line, value and remedy.
 */
void parseSchema1(const SectionText& section, Document& document);

}
