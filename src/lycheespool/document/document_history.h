#pragma once

#include "lycheespool/document/audit_query.h"
#include "lycheespool/document/document_reader.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace lycheespool {

/**
 * @brief Answers questions about earlier revisions and about the audit trail.
 * @tparam Type A Table.
 */
template <Table Type>
class DocumentHistory {
public:
    /**
     * @brief Makes a view.
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
     * @param limit Most records in the answer.
     * @return Records, the newest first.
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
     * @param query Selects the records.
     * @return Records, the newest first.
     * @throws Error of kind unavailable.
     */
    [[nodiscard]] Awaitable<std::vector<AuditRecord>> audit(AuditQuery query)
    {
        auto records = co_await systemActs(query);
        std::string headKey { DocumentKeys::head };
        auto head = co_await m_table.get(std::move(headKey));
        const auto newest = head.exists() ? RecordCodec::decodeHead(head.value).revision.value() : 0;
        const auto wanted = records.size() + query.limit;
        for (auto block = newest / blockSize + 1; block-- > 0 && records.size() < wanted;) {
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
    // A block of keys shares all digits of the revision but the last two.
    static constexpr std::uint64_t blockSize = 100;
    static constexpr std::size_t blockDigits = 2;

    [[nodiscard]] Awaitable<std::vector<AuditRecord>> systemActs(const AuditQuery& query)
    {
        std::string prefix { DocumentKeys::systemAudit };
        auto rows = co_await m_table.list(std::move(prefix));
        std::vector<AuditRecord> records;
        addMatching(query, rows, records);
        co_return records;
    }

    /*! @brief Gives true when the block reaches back before the time range. */
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
