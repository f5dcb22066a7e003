#pragma once

#include "lycheespool/document/audit_query.h"
#include "lycheespool/document/document_reader.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace lycheespool {

/**
 * @brief Queries earlier revisions and the audit trail.
 * @tparam Type A Table.
 */
template <Table Type>
class DocumentHistory {
public:
    /**
     * @brief Constructs a history view of a table.
     * @param table The table; must outlive the view.
     */
    explicit DocumentHistory(Type& table)
        : m_table { table }
        , m_reader { table }
    {
    }

    /**
     * @brief Lists the revisions of a section.
     * @param section Its name.
     * @param limit Maximum number of records returned.
     * @return Records, newest first.
     * @throws Error of kind unavailable.
     */
    [[nodiscard]] Awaitable<std::vector<HistoryRecord>> ofSection(SectionId section, std::size_t limit)
    {
        std::vector<HistoryRecord> records;
        auto stored = co_await m_reader.readSection(section);
        auto revision = stored.record.revision;
        while (revision != Revision {} && records.size() < limit) {
            auto record = co_await m_reader.readHistory(revision);
            revision = record.previous;
            records.push_back(std::move(record));
        }
        co_return records;
    }

    /**
     * @brief Lists records of the audit trail.
     *
     * Edits are read in blocks from the newest one backwards until the limit or the start of the time range is reached.
     *
     * @param query Filter for the records.
     * @return Records, newest first.
     * @throws Error of kind unavailable.
     */
    [[nodiscard]] Awaitable<std::vector<AuditRecord>> audit(AuditQuery query)
    {
        auto records = co_await readSystemActions(query);
        std::string headKey { DocumentKeys::head };
        auto head = co_await m_table.get(std::move(headKey));
        const auto newest = head.exists() ? RecordCodec::decodeHead(head.value).revision.value() : 0;
        const auto targetCount = records.size() + query.limit;
        for (auto block = newest / blockSize + 1; block-- > 0 && records.size() < targetCount;) {
            const bool isLast = co_await addBlock(query, block, records);
            if (isLast)
                break;
        }
        std::ranges::sort(records, std::ranges::greater {}, [](const AuditRecord& record) {
            return std::pair { record.time, record.revision };
        });
        if (records.size() > query.limit)
            records.resize(query.limit);
        co_return records;
    }

private:
    // The keys of a block share all digits of the revision except the last two.
    static constexpr std::uint64_t blockSize = 100;
    static constexpr std::size_t blockDigits = 2;

    [[nodiscard]] Awaitable<std::vector<AuditRecord>> readSystemActions(const AuditQuery& query)
    {
        std::string prefix { DocumentKeys::systemAudit };
        auto rows = co_await m_table.list(std::move(prefix));
        std::vector<AuditRecord> records;
        addMatching(query, rows, records);
        co_return records;
    }

    /*! @brief Appends the matching records of a block; returns true when the block starts before the time range. */
    [[nodiscard]] Awaitable<bool> addBlock(
        const AuditQuery& query, std::uint64_t block, std::vector<AuditRecord>& records)
    {
        auto prefix = DocumentKeys::auditAt(Revision { block * blockSize });
        prefix.resize(prefix.size() - blockDigits);
        auto rows = co_await m_table.list(std::move(prefix));
        const auto oldest = addMatching(query, rows, records);
        co_return query.from&& oldest&&* oldest < *query.from;
    }

    static std::optional<WallTime> addMatching(
        const AuditQuery& query, const Rows& rows, std::vector<AuditRecord>& records)
    {
        std::optional<WallTime> oldest;
        for (const auto& it : rows) {
            auto record = RecordCodec::decodeAudit(it.value);
            oldest = oldest ? std::min(*oldest, record.time) : record.time;
            if (query.matches(record))
                records.push_back(std::move(record));
        }
        return oldest;
    }

    Type& m_table;
    DocumentReader<Type> m_reader;
};

}
