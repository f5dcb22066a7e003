#pragma once

#include "lycheespool/document/document.h"
#include "lycheespool/document/section_text.h"

#include <string_view>
#include <vector>

namespace lycheespool {

/*! @brief Maximum text size of a section, in bytes; keeps table rows and three-way differences small. */
inline constexpr std::size_t maxSectionBytes = 65536;
/**
 * @brief Maximum number of lines of a section.
 *
 * The difference of two texts takes time proportional to the product of their line counts.
 */
inline constexpr std::size_t maxSectionLines = 2000;

/**
 * @brief Parses one section and replaces its contents in a document.
 * @param section Text of the section; an empty text removes a workspace.
 * @param document Receives the contents; unchanged when an error is thrown.
 * @throws Error of kind invalidArgument that names section, line, value and remedy.
 */
void parseSection(const SectionText& section, Document& document);

/**
 * @brief Parses sections into a document.
 * @param sections Texts of the sections, in any order, each at most once.
 * @return The document, with revision and digest 0.
 * @throws Error of kind invalidArgument that names section, line, value and remedy.
 */
[[nodiscard]] Document parseSections(const std::vector<SectionText>& sections);

/**
 * @brief Splits the text of a whole document into sections.
 * @param text `schema = <n>` and then the sections, each contiguous; comments belong to the section that follows.
 * @return The sections in file order.
 * @throws Error of kind invalidArgument that names the line and the remedy.
 */
[[nodiscard]] std::vector<SectionText> splitDocument(std::string_view text);

/**
 * @brief Joins sections into one document that splitDocument can read.
 * @param sections Texts of the sections, all of one schema.
 * @return Text with `schema = <n>` first.
 */
[[nodiscard]] std::string joinDocument(const std::vector<SectionText>& sections);

}
