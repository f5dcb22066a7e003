#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/document/section_id.h"

#include <string>

namespace lycheespool {

/*! @brief Keys of the document's rows in the table. */
struct DocumentKeys {
    static constexpr const char* head = "document/head";
    static constexpr const char* sections = "document/section/";
    static constexpr const char* history = "document/history/";
    static constexpr const char* audit = "audit/";
    /*! @brief System actions, sorted by time; separate from edits, whose keys are revisions. */
    static constexpr const char* systemAudit = "audit/system/";
    /*! @brief Digits of a Unix time in milliseconds in a key. */
    static constexpr int timeDigits = 15;
    /*! @brief Digits of a revision in a key; enough for every 64-bit number, so keys sort by revision. */
    static constexpr int revisionDigits = 20;

    [[nodiscard]] static std::string section(const SectionId& section);
    [[nodiscard]] static std::string historyAt(Revision revision);
    [[nodiscard]] static std::string auditAt(Revision revision);
};

}
