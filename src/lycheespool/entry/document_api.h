#pragma once

#include "lycheespool/core/error.h"
#include "lycheespool/document/document_history.h"
#include "lycheespool/document/document_store.h"
#include "lycheespool/document/section_parser.h"
#include "lycheespool/entry/document_json.h"
#include "lycheespool/net/http_message.h"
#include "lycheespool/net/http_server.h"
#include "lycheespool/store/table.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace lycheespool {

/**
 * @brief Operators' HTTP API for the document: show, edit, outcome of an edit, history and audit trail.
 * @tparam TableType Model of Table.
 */
template <Table TableType>
class DocumentApi {
public:
    /*! @brief Called after an edit was accepted, so that this entry applies it immediately. */
    using AcceptedHandler = std::function<Awaitable<>()>;

    /**
     * @brief Creates the API.
     * @param table Table service.
     * @param entry Name of this entry, for the audit trail.
     * @param policy Retries and capacity check of edits.
     * @param accepted Called after an edit was accepted.
     */
    DocumentApi(TableType& table, EntryId entry, EditPolicy policy, AcceptedHandler accepted)
        : m_store { table, std::move(entry), std::move(policy) }
        , m_history { table }
        , m_accepted { std::move(accepted) }
    {
    }

    /**
     * @brief Handles a request under `/v1/document`.
     * @param request HTTP request.
     * @param rest Path after `/v1/document`.
     * @return The response.
     * @throws Error of kind notFound, invalidArgument, unavailable or outcomeUnknown.
     */
    [[nodiscard]] Awaitable<HttpResponse> serve(HttpRequest request, std::string rest)
    {
        if (rest.empty() && request.method == "GET")
            co_return co_await showAll();
        if (rest == "/history" && request.method == "GET")
            co_return co_await showHistory(std::move(request));
        if (rest == "/audit" && request.method == "GET")
            co_return co_await showAudit(std::move(request));
        if (rest == "/outcome" && request.method == "GET")
            co_return co_await showOutcome(std::move(request));
        constexpr std::string_view prefix = "/sections/";
        if (rest.starts_with(prefix)) {
            SectionId section { rest.substr(prefix.size()) };
            (void)kindOf(section);
            if (request.method == "GET")
                co_return co_await show(std::move(section));
            if (request.method == "PUT")
                co_return co_await edit(std::move(section), std::move(request));
        }
        throw Error { ErrorKind::notFound, "no resource for " + request.method + " " + request.path,
            "see docs/api.md for the calls" };
    }

private:
    [[nodiscard]] Awaitable<HttpResponse> showAll()
    {
        const auto stored = co_await m_store.read();
        co_return DocumentJson::write(stored);
    }

    [[nodiscard]] Awaitable<HttpResponse> show(SectionId section)
    {
        const auto stored = co_await m_store.read();
        co_return DocumentJson::write(stored.find(section));
    }

    [[nodiscard]] Awaitable<HttpResponse> showHistory(HttpRequest request)
    {
        SectionId section { std::string { request.parameter("section") } };
        (void)kindOf(section);
        const auto limit = DocumentJson::readLimit(request);
        const auto records = co_await m_history.ofSection(std::move(section), limit);
        co_return DocumentJson::write(records);
    }

    [[nodiscard]] Awaitable<HttpResponse> showAudit(HttpRequest request)
    {
        auto query = DocumentJson::readAuditQuery(request);
        const auto records = co_await m_history.audit(std::move(query));
        co_return DocumentJson::write(records);
    }

    [[nodiscard]] Awaitable<HttpResponse> edit(SectionId section, HttpRequest request)
    {
        auto requested = DocumentJson::readEdit(std::move(section), std::move(request));
        rejectZoneBoundGuarantees(requested);
        auto result = co_await m_store.apply(std::move(requested));
        co_return co_await answer(std::move(result));
    }

    /*! @brief Rejects guarantees that are bound to a zone, because the placement policy does not support them. */
    static void rejectZoneBoundGuarantees(const Edit& requested)
    {
        if (requested.text.empty() || kindOf(requested.section) != SectionKind::workspace)
            return;
        Document document;
        parseSection({ requested.section, requested.text, requested.schema }, document);
        for (const auto& [id, workspace] : document.workspaces) {
            const auto isBound = [](const CellSettings& cell) { return cell.zone.has_value(); };
            if (std::ranges::any_of(workspace.guarantees, isBound))
                throw Error { ErrorKind::invalidArgument,
                    "section " + requested.section.value() + ": a guarantee cannot be bound to a zone yet",
                    "remove the field zone from the guarantee" };
        }
    }

    [[nodiscard]] Awaitable<HttpResponse> showOutcome(HttpRequest request)
    {
        auto ticket = DocumentJson::readTicket(request);
        auto result = co_await m_store.outcome(std::move(ticket));
        co_return co_await answer(std::move(result));
    }

    [[nodiscard]] Awaitable<HttpResponse> answer(EditResult result)
    {
        if (result.status == EditStatus::accepted)
            co_await m_accepted();
        co_return DocumentJson::write(result);
    }

    DocumentStore<TableType> m_store;
    DocumentHistory<TableType> m_history;
    AcceptedHandler m_accepted;
};

}
