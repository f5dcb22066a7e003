#pragma once

#include "lycheespool/document/audit_query.h"
#include "lycheespool/document/audit_record.h"
#include "lycheespool/document/edit.h"
#include "lycheespool/document/edit_result.h"
#include "lycheespool/document/history_record.h"
#include "lycheespool/document/stored_document.h"
#include "lycheespool/net/http_message.h"

#include <cstddef>
#include <vector>

namespace lycheespool {

/*! @brief HTTP representation of the document and of its edits. */
struct DocumentJson {
    /**
     * @brief Reads an edit.
     * @param section Section from the path.
     * @param request Body with the new text; `If-Match` with the revision that the edit is based on, `From`
     * with the operator, `Idempotency-Key` with the edit's token, parameter `override`.
     * @return The edit.
     * @throws Error of kind invalidArgument that names the missing or invalid field.
     */
    [[nodiscard]] static Edit readEdit(SectionId section, HttpRequest&& request);

    /**
     * @brief Reads a query for the outcome of an edit.
     * @param request Parameters `section`, `token`, `base` and `headVersion`.
     * @return The ticket.
     * @throws Error of kind invalidArgument that names the missing or invalid field.
     */
    [[nodiscard]] static EditTicket readTicket(const HttpRequest& request);

    /**
     * @brief Reads the maximum number of records in a response.
     * @param request Parameter `limit`, 1 to 1000, default 100.
     * @return Maximum number of records.
     * @throws Error of kind invalidArgument.
     */
    [[nodiscard]] static std::size_t readLimit(const HttpRequest& request);

    /**
     * @brief Reads a query of the audit trail.
     * @param request Parameters `subject`, `who` and `limit`; an absent `subject` or `who` matches all records.
     * @return The query.
     * @throws Error of kind invalidArgument.
     */
    [[nodiscard]] static AuditQuery readAuditQuery(const HttpRequest& request);

    [[nodiscard]] static HttpResponse write(const std::vector<HistoryRecord>& records);
    [[nodiscard]] static HttpResponse write(const std::vector<AuditRecord>& records);
    [[nodiscard]] static HttpResponse write(const StoredDocument& document);
    [[nodiscard]] static HttpResponse write(const StoredSection& section);
    /**
     * @brief Writes the response to an edit.
     * @param result Result of the edit.
     * @return 200 when accepted, 409 on a conflict, 400 or 403 when refused, 422 when an override is needed, 503 when
     * not accepted, 504 when the outcome is unknown.
     */
    [[nodiscard]] static HttpResponse write(const EditResult& result);
};

}
