#include "lycheespool/document/prepared_edit.h"

#include "lycheespool/document/document_digest.h"
#include "lycheespool/document/document_keys.h"
#include "lycheespool/document/record_codec.h"
#include "lycheespool/document/section_parser.h"

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

void checkForm(const Edit& edit)
{
    const auto& token = edit.token.value();
    const bool isPrintable = std::ranges::all_of(token, [](char c) { return c > ' ' && c < '\x7f'; });
    if (token.empty() || token.size() > maxTokenBytes || !isPrintable)
        throw Error { ErrorKind::invalidArgument, "the edit has no valid token",
            fmt::format("draw a random token of 1 to {} printable characters for every edit", maxTokenBytes) };
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

}

EditResult rejected(const Edit& edit, EditStatus status, Error error)
{
    EditResult result;
    result.status = status;
    result.error = std::move(error);
    result.ticket = { edit.section, edit.token, edit.base, 0 };
    return result;
}

PreparedEdit prepareEdit(const StoredDocument& stored, const Edit& edit, const EntryId& process)
{
    try {
        checkForm(edit);
        static_cast<void>(withEdit(stored, edit).parse());
    } catch (const Error& error) {
        return { rejected(edit, EditStatus::refused, error), std::nullopt };
    }
    PreparedEdit prepared;
    prepared.transaction = newTransaction(stored, edit, process);
    prepared.result.status = EditStatus::accepted;
    prepared.result.revision = Revision { stored.head.revision.value() + 1 };
    prepared.result.ticket = { edit.section, edit.token, edit.base, stored.headVersion };
    return prepared;
}

}
