#pragma once

#include "lycheespool/core/log.h"
#include "lycheespool/core/metrics.h"
#include "lycheespool/document/document_cache.h"
#include "lycheespool/document/document_digest.h"
#include "lycheespool/document/document_reader.h"
#include "lycheespool/document/section_parser.h"
#include "lycheespool/net/sleep.h"

#include <atomic>
#include <utility>
#include <vector>

namespace lycheespool {

/**
 * @brief Keeps a DocumentCache up to date from the table.
 * @tparam Type A Table.
 * @tparam Clock Type with `now()`; SteadyClock except in tests.
 */
template <Table Type, typename Clock = SteadyClock>
class DocumentWatcher {
public:
    /*! @brief Time between two reads of the head; half of freshnessLimit, to tolerate one slow read. */
    static constexpr Duration interval = std::chrono::seconds { 1 };

    /**
     * @brief Constructs a watcher.
     * @param table The table; like the other arguments, it must outlive the watcher.
     * @param cache Receives the document.
     * @param metrics Registry for the counters.
     * @param clock Source of the send times.
     */
    DocumentWatcher(Type& table, DocumentCache& cache, Metrics& metrics, const Clock& clock)
        : m_table { table }
        , m_reader { table }
        , m_cache { cache }
        , m_clock { clock }
        , m_reads { metrics.counter("document_head_reads_total") }
        , m_failures { metrics.counter("document_read_failures_total") }
        , m_lowerRevisions { metrics.counter("document_lower_revisions_total") }
    {
    }

    /**
     * @brief Reads the head once, then the sections that changed.
     *
     * Also called after an edit was accepted. Calls may overlap.
     *
     * @return True when the cache received a newer document.
     * @throws Error of kind unavailable, internal, stale, or invalidArgument when a section has a newer schema.
     */
    [[nodiscard]] Awaitable<bool> poll()
    {
        m_reads.add();
        const auto sentAt = m_clock.now();
        std::string key { DocumentKeys::head };
        auto row = co_await m_table.get(std::move(key));
        const auto head = row.exists() ? RecordCodec::decodeHead(row.value) : HeadRecord {};
        if (m_cache.confirm(head, sentAt))
            co_return false;
        const auto state = m_cache.state();
        if (head.revision < state->highestRevision) {
            m_lowerRevisions.add();
            co_return false;
        }
        auto document = co_await update(*state, head);
        co_return m_cache.accept(std::move(document), head, sentAt);
    }

    /*! @brief Polls once per interval until stop() is called; failures are counted and retried. */
    [[nodiscard]] Awaitable<> run()
    {
        while (!m_isStopped) {
            const auto next = m_clock.now() + interval;
            co_await pollOnce();
            co_await sleepFor(next - m_clock.now());
        }
    }

    /*! @brief Ends run() after its current wait; may be called from any thread. */
    void stop() { m_isStopped = true; }

private:
    // Above this number, one read of all sections is cheaper than one read per changed section.
    static constexpr std::size_t maxSingleReads = 4;

    [[nodiscard]] Awaitable<> pollOnce()
    {
        try {
            const bool isNewer = co_await poll();
            if (isNewer)
                log(LogLevel::info, "document: revision {} in effect", m_cache.state()->head.revision.value());
            if (std::exchange(m_isFailing, false))
                log(LogLevel::info, "document: can be read again");
        } catch (const std::exception& error) {
            m_failures.add();
            if (!std::exchange(m_isFailing, true))
                log(LogLevel::warning, "document: cannot be read; nothing is started after {} s: {}",
                    std::chrono::duration_cast<std::chrono::seconds>(freshnessLimit).count(), error.what());
        }
    }

    [[nodiscard]] static std::vector<SectionId> changedSections(const HeadRecord& known, const HeadRecord& head)
    {
        std::vector<SectionId> changed;
        for (const auto& [section, entry] : head.sections) {
            const auto it = known.sections.find(section);
            if (it == known.sections.end() || it->second != entry)
                changed.push_back(section);
        }
        return changed;
    }

    [[nodiscard]] Awaitable<Document> update(const DocumentState& state, const HeadRecord& head)
    {
        auto document = state.document ? *state.document : Document {};
        const auto changed = changedSections(state.head, head);
        std::map<SectionId, SectionRecord> records;
        if (changed.size() > maxSingleReads)
            records = co_await listSections();
        for (const auto& it : changed) {
            const auto entry = head.sections.at(it);
            auto record = std::move(records[it]);
            // History rows are immutable, so they match the head even if the section has changed again in the meantime.
            if (record.revision != entry.revision) {
                auto history = co_await m_reader.readHistory(entry.revision);
                record = std::move(history.section);
            }
            checkDigest(record, entry);
            parseSection(record.content, document);
        }
        document.revision = head.revision;
        document.digest = head.digest;
        co_return document;
    }

    [[nodiscard]] Awaitable<std::map<SectionId, SectionRecord>> listSections()
    {
        std::string prefix { DocumentKeys::sections };
        auto rows = co_await m_table.list(std::move(prefix));
        std::map<SectionId, SectionRecord> records;
        for (const auto& it : rows) {
            auto record = RecordCodec::decodeSection(it.value);
            records.insert_or_assign(record.content.section, std::move(record));
        }
        co_return records;
    }

    static void checkDigest(const SectionRecord& record, const SectionEntry& entry)
    {
        if (digestOf(record.content.text) == entry.digest)
            return;
        throw Error { ErrorKind::internal,
            fmt::format("section {} differs from its digest in the head", record.content.section.value()),
            "check whether another program writes to the rows document/" };
    }

    Type& m_table;
    DocumentReader<Type> m_reader;
    DocumentCache& m_cache;
    const Clock& m_clock;
    Counter& m_reads;
    Counter& m_failures;
    Counter& m_lowerRevisions;
    std::atomic<bool> m_isStopped { false };
    bool m_isFailing { false };
};

}
