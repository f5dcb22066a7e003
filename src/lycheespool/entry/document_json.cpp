#include "lycheespool/entry/document_json.h"

#include "lycheespool/core/error.h"
#include "lycheespool/net/http_server.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <chrono>

namespace lycheespool {

using nlohmann::json;

namespace {

constexpr std::size_t maxRecords = 1000;

Error invalid(const std::string& what, std::string remedy)
{
    return { ErrorKind::invalidArgument, what, std::move(remedy) };
}

std::uint64_t readNumber(std::string_view text, const std::string& name)
{
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || status != std::errc {} || end != text.data() + text.size())
        throw invalid(
            name + " is not a non-negative integer", "send the number from the response that showed the section");
    return value;
}

std::string dump(const json& value) { return value.dump(2, ' ', false, json::error_handler_t::replace) + '\n'; }

HttpResponse jsonResponse(unsigned status, const json& value)
{
    HttpResponse response;
    response.status = status;
    response.body = dump(value);
    return response;
}

json describe(const SectionRecord& record)
{
    return {
        { "section", record.content.section.value() },
        { "revision", record.revision.value() },
        { "author", record.author },
        { "timeMs", record.time.time_since_epoch().count() },
        { "text", record.content.text },
    };
}

json describe(const Findings& findings)
{
    auto list = json::array();
    for (const auto& it : findings)
        list.push_back({ { "severity", it.severity == FindingSeverity::error ? "error" : "warning" },
            { "section", it.section.value() }, { "message", it.message } });
    return list;
}

json describe(const EditTicket& ticket)
{
    return { { "section", ticket.section.value() }, { "token", ticket.token.value() }, { "base", ticket.base.value() },
        { "headVersion", ticket.headVersion } };
}

unsigned statusOf(const EditResult& result)
{
    switch (result.status) {
    case EditStatus::accepted:
        return 200;
    case EditStatus::conflict:
        return 409;
    case EditStatus::refused:
        return result.error && result.error->kind() == ErrorKind::forbidden ? 403 : 400;
    case EditStatus::needsOverride:
        return 422;
    case EditStatus::notAccepted:
        return 503;
    case EditStatus::outcomeUnknown:
        return 504;
    }
    return 500;
}

const char* nameOf(EditStatus status)
{
    switch (status) {
    case EditStatus::accepted:
        return "accepted";
    case EditStatus::conflict:
        return "conflict";
    case EditStatus::refused:
        return "refused";
    case EditStatus::needsOverride:
        return "needs-override";
    case EditStatus::notAccepted:
        return "not-accepted";
    case EditStatus::outcomeUnknown:
        return "outcome-unknown";
    }
    return "outcome-unknown";
}

}

Edit DocumentJson::readEdit(SectionId section, HttpRequest&& request)
{
    Edit edit;
    edit.section = std::move(section);
    edit.base = Revision { readNumber(request.field("If-Match"), "header If-Match") };
    edit.author = std::string { request.field("From") };
    if (edit.author.empty())
        throw invalid("header From is missing", "send the name of the operator");
    edit.token = EditToken { std::string { request.field("Idempotency-Key") } };
    if (edit.token.value().empty() || edit.token.value().size() > maxTokenBytes)
        throw invalid(
            "header Idempotency-Key is missing or too long", "send a token of 1 to 64 characters, new for each edit");
    edit.time = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    edit.overrideWarnings = request.parameter("override", "false") == "true";
    edit.text = std::move(request.body);
    return edit;
}

EditTicket DocumentJson::readTicket(const HttpRequest& request)
{
    EditTicket ticket;
    ticket.section = SectionId { std::string { request.parameter("section") } };
    (void)kindOf(ticket.section);
    ticket.token = EditToken { std::string { request.parameter("token") } };
    ticket.base = Revision { readNumber(request.parameter("base"), "parameter base") };
    ticket.headVersion = readNumber(request.parameter("headVersion"), "parameter headVersion");
    return ticket;
}

std::size_t DocumentJson::readLimit(const HttpRequest& request)
{
    const auto limit = readNumber(request.parameter("limit", "100"), "parameter limit");
    if (limit == 0 || limit > maxRecords)
        throw invalid("parameter limit is out of range", "use an integer from 1 to 1000");
    return limit;
}

AuditQuery DocumentJson::readAuditQuery(const HttpRequest& request)
{
    AuditQuery query;
    if (const auto subject = request.parameter("subject"); !subject.empty())
        query.subject = std::string { subject };
    if (const auto who = request.parameter("who"); !who.empty())
        query.who = std::string { who };
    query.limit = readLimit(request);
    return query;
}

HttpResponse DocumentJson::write(const std::vector<HistoryRecord>& records)
{
    auto list = json::array();
    for (const auto& it : records)
        list.push_back(describe(it.section));
    return jsonResponse(200, list);
}

HttpResponse DocumentJson::write(const std::vector<AuditRecord>& records)
{
    auto list = json::array();
    for (const auto& it : records) {
        list.push_back({ { "who", it.who }, { "timeMs", it.time.time_since_epoch().count() }, { "act", it.act },
            { "subject", it.subject }, { "before", it.before }, { "after", it.after },
            { "process", it.process.value() }, { "revision", it.revision.value() } });
    }
    return jsonResponse(200, list);
}

HttpResponse DocumentJson::write(const StoredDocument& document)
{
    auto sections = json::array();
    for (const auto& [id, section] : document.sections)
        sections.push_back(describe(section.record));
    return jsonResponse(200, { { "revision", document.head.revision.value() }, { "sections", sections } });
}

HttpResponse DocumentJson::write(const StoredSection& section)
{
    auto response = jsonResponse(200, describe(section.record));
    response.fields.emplace_back("ETag", fmt::format("\"{}\"", section.record.revision.value()));
    return response;
}

HttpResponse DocumentJson::write(const EditResult& result)
{
    json body { { "status", nameOf(result.status) }, { "findings", describe(result.findings) } };
    if (result.status == EditStatus::accepted)
        body["revision"] = result.revision.value();
    else
        body["ticket"] = describe(result.ticket);
    if (result.error) {
        body["detail"] = result.error->what();
        body["remedy"] = result.error->remedy();
    }
    if (result.conflict) {
        body["currentRevision"] = result.conflict->current.value();
        body["currentAuthor"] = result.conflict->currentAuthor;
        body["difference"] = result.conflict->difference;
    }
    auto response = jsonResponse(statusOf(result), body);
    if (response.status == 503 || response.status == 504)
        response.fields.emplace_back("Retry-After", "1");
    return response;
}

}
