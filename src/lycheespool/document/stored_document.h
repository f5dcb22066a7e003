#pragma once

#include "lycheespool/document/document.h"
#include "lycheespool/document/head_record.h"
#include "lycheespool/document/stored_section.h"
#include "lycheespool/store/row.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lycheespool {

/*! @brief The whole document as it was read from the table. */
struct StoredDocument {
    HeadRecord head;
    /*! @brief Version of the head row; 0 when it does not exist. */
    std::uint64_t headVersion { 0 };
    std::map<SectionId, StoredSection> sections;

    /**
     * @brief Decodes the rows of a document.
     * @param head The head row, read before the others.
     * @param sections The rows of all sections.
     * @return The document.
     * @throws Error of kind internal when a row cannot be decoded.
     */
    [[nodiscard]] static StoredDocument decode(const Row& head, const Rows& sections);

    /**
     * @brief Checks if the sections have the revisions that the head lists.
     * @return False when a section changed between the two reads.
     */
    [[nodiscard]] bool isConsistent() const;

    /**
     * @brief Finds a section.
     * @param section Its name.
     * @return The section, with revision and version 0 when it does not exist.
     */
    [[nodiscard]] StoredSection find(const SectionId& section) const;

    /**
     * @brief Returns the texts of all sections.
     * @return Texts, sorted by section name.
     */
    [[nodiscard]] std::vector<SectionText> texts() const;

    /**
     * @brief Parses all sections.
     * @return The document with revision and digest of the head.
     * @throws Error of kind invalidArgument when a section has a newer schema.
     */
    [[nodiscard]] Document parse() const;
};

}
