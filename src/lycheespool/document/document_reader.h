#pragma once

#include "lycheespool/core/error.h"
#include "lycheespool/document/document_keys.h"
#include "lycheespool/document/edit_ticket.h"
#include "lycheespool/document/record_codec.h"
#include "lycheespool/document/stored_document.h"
#include "lycheespool/store/table.h"

#include <fmt/format.h>

#include <optional>

namespace lycheespool {

/**
 * @brief Reads the document's rows.
 * @tparam Type A Table.
 */
template <Table Type>
class DocumentReader {
public:
    /**
     * @brief Constructs a reader.
     * @param table The table; must outlive the reader.
     */
    explicit DocumentReader(Type& table)
        : m_table { table }
    {
    }

    /**
     * @brief Reads head and sections; a section may have changed between the two reads.
     * @return The stored document; see StoredDocument::isConsistent.
     * @throws Error of kind unavailable.
     */
    [[nodiscard]] Awaitable<StoredDocument> readAll()
    {
        std::string headKey { DocumentKeys::head };
        auto head = co_await m_table.get(std::move(headKey));
        std::string prefix { DocumentKeys::sections };
        auto sections = co_await m_table.list(std::move(prefix));
        co_return StoredDocument::decode(head, sections);
    }

    /**
     * @brief Reads one section.
     * @param section Its name.
     * @return The section, with revision and version 0 when it does not exist.
     * @throws Error of kind unavailable.
     */
    [[nodiscard]] Awaitable<StoredSection> readSection(SectionId section)
    {
        auto key = DocumentKeys::section(section);
        auto row = co_await m_table.get(std::move(key));
        StoredSection stored;
        stored.record.content.section = section;
        if (row.exists())
            stored.record = RecordCodec::decodeSection(row.value);
        stored.version = row.version;
        co_return stored;
    }

    /**
     * @brief Reads the history record of an edit.
     * @param revision Revision of the document that the edit created.
     * @return The record.
     * @throws Error of kind notFound or unavailable.
     */
    [[nodiscard]] Awaitable<HistoryRecord> readHistory(Revision revision)
    {
        auto key = DocumentKeys::historyAt(revision);
        auto row = co_await m_table.get(std::move(key));
        if (!row.exists())
            throw Error { ErrorKind::notFound, fmt::format("revision {} does not exist", revision.value()),
                "list the history of the section to see its revisions" };
        co_return RecordCodec::decodeHistory(row.value);
    }

    /**
     * @brief Finds the edit with a token among the changes of a section.
     * @param ticket Section, token, and base revision; only later revisions are searched.
     * @return The edit's record, or nothing when no accepted edit has the token.
     * @throws Error of kind unavailable.
     */
    [[nodiscard]] Awaitable<std::optional<HistoryRecord>> findEdit(EditTicket ticket)
    {
        auto section = co_await readSection(ticket.section);
        auto revision = section.record.revision;
        while (revision > ticket.base) {
            auto record = co_await readHistory(revision);
            if (record.section.token == ticket.token)
                co_return record;
            revision = record.previous;
        }
        co_return std::nullopt;
    }

private:
    Type& m_table;
};

}
