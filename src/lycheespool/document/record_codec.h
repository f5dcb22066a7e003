#pragma once

#include "lycheespool/document/audit_record.h"
#include "lycheespool/document/head_record.h"
#include "lycheespool/document/history_record.h"

#include <string>
#include <string_view>

namespace lycheespool {

/*! @brief JSON form of the document's rows in the table. */
struct RecordCodec {
    [[nodiscard]] static std::string encode(const SectionRecord& record);
    [[nodiscard]] static std::string encode(const HeadRecord& record);
    [[nodiscard]] static std::string encode(const HistoryRecord& record);
    [[nodiscard]] static std::string encode(const AuditRecord& record);

    /**
     * @brief Decodes the value of a row.
     * @param text JSON text.
     * @return The record.
     * @throws Error of kind internal when the text cannot be decoded.
     */
    [[nodiscard]] static SectionRecord decodeSection(std::string_view text);
    /*! @copydoc decodeSection */
    [[nodiscard]] static HeadRecord decodeHead(std::string_view text);
    /*! @copydoc decodeSection */
    [[nodiscard]] static HistoryRecord decodeHistory(std::string_view text);
    /*! @copydoc decodeSection */
    [[nodiscard]] static AuditRecord decodeAudit(std::string_view text);
};

}
