#include "lycheespool/document/prepared_edit.h"

#include "lycheespool/document/document_digest.h"
#include "lycheespool/document/document_keys.h"
#include "lycheespool/document/permission.h"
#include "lycheespool/document/record_codec.h"
#include "lycheespool/document/validation.h"

#include <fmt/format.h>

#include <algorithm>

namespace lycheespool {

namespace {

SectionRecord newRecord(const Edit& edit, Revision revision)
{
    return { revision, { edit.section, edit.text, edit.schema }, edit.author, edit.token, edit.time };
}

HeadRecord nextHead(const HeadRecord& head, const Edit& edit)
{
    auto next = head;
    next.revision = Revision { head.revision.value() + 1 };
    next.sections[edit.section] = { next.revision, digestOf(edit.text) };
    next.digest = digestOf(next.sections);
    return next;
}

AuditRecord newAudit(const Edit& edit, const SectionRecord& before, Revision revision, const EntryId& process)
{
    return { edit.author, edit.time, "edit", edit.section.value(), before.content.text, edit.text, process, revision };
}

Transaction newTransaction(const StoredDocument& stored, const Edit& edit, const EntryId& process)
{
    const auto current = stored.find(edit.section);
    const auto head = nextHead(stored.head, edit);
    const auto record = newRecord(edit, head.revision);
    const auto audit = newAudit(edit, current.record, head.revision, process);
    const auto key = DocumentKeys::section(edit.section);
    Transaction transaction;
    transaction.conditions = { { key, current.version }, { DocumentKeys::head, stored.headVersion } };
    transaction.writes = { { key, RecordCodec::encode(record) }, { DocumentKeys::head, RecordCodec::encode(head) },
        { DocumentKeys::historyAt(head.revision),
            RecordCodec::encode(HistoryRecord { record, current.record.revision }) },
        { DocumentKeys::auditAt(head.revision), RecordCodec::encode(audit) } };
    return transaction;
}

void checkTokenAndText(const Edit& edit)
{
    const auto& token = edit.token.value();
    const bool isPrintable = std::ranges::all_of(token, [](char c) { return c > ' ' && c < '\x7f'; });
    if (token.empty() || token.size() > maxTokenBytes || !isPrintable)
        throw Error { ErrorKind::invalidArgument, "the edit has no valid token",
            fmt::format("generate a random token of 1 to {} printable characters for every edit", maxTokenBytes) };
    const bool isBlank = edit.text.find_first_not_of(" \t\r\n") == std::string::npos;
    if (isBlank && kindOf(edit.section) != SectionKind::workspace)
        throw Error { ErrorKind::invalidArgument, fmt::format("section {} would be empty", edit.section.value()),
            "only workspace sections can be removed; edit the text instead" };
}

StoredDocument withEdit(const StoredDocument& stored, const Edit& edit)
{
    auto changed = stored;
    changed.head = nextHead(stored.head, edit);
    changed.sections[edit.section].record = newRecord(edit, changed.head.revision);
    return changed;
}

/*! @brief Returns the rejection of an edit because of its findings, if any; errors take precedence over warnings. */
std::optional<EditResult> rejectionFor(const Edit& edit, const Findings& findings)
{
    const auto isError = [](const Finding& it) { return it.severity == FindingSeverity::error; };
    auto first = std::ranges::find_if(findings, isError);
    const auto status = first != findings.end() ? EditStatus::refused : EditStatus::needsOverride;
    if (status == EditStatus::needsOverride)
        first = findings.begin();
    if (first == findings.end() || (status == EditStatus::needsOverride && edit.overrideWarnings))
        return std::nullopt;
    const auto message = fmt::format("section {}: {}", first->section.value(), first->message);
    auto result = rejected(edit, status, { ErrorKind::invalidArgument, message, "nothing was written" });
    result.findings = findings;
    return result;
}

}

EditResult rejected(const Edit& edit, EditStatus status, Error error)
{
    EditResult result;
    result.status = status;
    result.error = std::move(error);
    result.ticket = { edit.section, edit.token, edit.base, 0 };
    return result;
}

PreparedEdit prepareEdit(
    const StoredDocument& stored, const Edit& edit, const EntryId& process, const CapacityCheck& capacity)
{
    Findings findings;
    try {
        checkTokenAndText(edit);
        const auto before = stored.parse();
        const auto after = withEdit(stored, edit).parse();
        checkPermission(before, after, edit.section, edit.author);
        findings = causedBy(validate(before, capacity), validate(after, capacity), edit.section);
    } catch (const Error& error) {
        return { rejected(edit, EditStatus::refused, error), std::nullopt };
    }
    if (auto result = rejectionFor(edit, findings))
        return { *result, std::nullopt };
    PreparedEdit prepared;
    prepared.transaction = newTransaction(stored, edit, process);
    prepared.result.status = EditStatus::accepted;
    prepared.result.revision = Revision { stored.head.revision.value() + 1 };
    prepared.result.findings = std::move(findings);
    prepared.result.ticket = { edit.section, edit.token, edit.base, stored.headVersion };
    return prepared;
}

}
