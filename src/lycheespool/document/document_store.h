#pragma once

#include "lycheespool/document/document_reader.h"
#include "lycheespool/document/edit_policy.h"
#include "lycheespool/document/line_difference.h"
#include "lycheespool/document/prepared_edit.h"
#include "lycheespool/net/sleep.h"

#include <algorithm>
#include <utility>

namespace lycheespool {

/**
 * @brief Applies edits to the document in the table.
 *
 * Each edit is one transaction, so a process that stops between two steps leaves either all of the edit or nothing.
 * Edits may run concurrently in one process and in several.
 *
 * @tparam Type A Table.
 */
template <Table Type>
class DocumentStore {
public:
    /**
     * @brief Makes a store.
     * @param table The table; must outlive the store.
     * @param process This process, for the audit trail.
     * @param policy Attempts, waits and capacity check.
     */
    DocumentStore(Type& table, EntryId process, EditPolicy policy)
        : m_table { table }
        , m_reader { table }
        , m_process { std::move(process) }
        , m_policy { std::move(policy) }
    {
    }

    /**
     * @brief Reads head and sections as of one revision.
     * @return The document.
     * @throws Error of kind unavailable when the table is down or the document keeps changing.
     */
    [[nodiscard]] Awaitable<StoredDocument> read()
    {
        for (unsigned attempt = 0; attempt < m_policy.attempts; ++attempt) {
            co_await waitBefore(attempt);
            auto stored = co_await m_reader.readAll();
            if (stored.isConsistent())
                co_return stored;
        }
        throw tooManyChanges();
    }

    /**
     * @brief Applies an edit.
     * @param edit The edit; a repeated one with the same token is accepted only once.
     * @return The answer; expected failures are in it and not thrown.
     * @throws Error of kind internal when a row cannot be decoded.
     */
    [[nodiscard]] Awaitable<EditResult> apply(Edit edit)
    {
        for (unsigned attempt = 0; attempt < m_policy.attempts; ++attempt) {
            co_await waitBefore(attempt);
            auto result = co_await tryOnce(edit);
            if (result)
                co_return *result;
        }
        co_return rejected(edit, EditStatus::notAccepted, tooManyChanges());
    }

    /**
     * @brief Applies an edit that writes an older text of the section as a new revision.
     * @param edit The edit; its text and schema are replaced.
     * @param revision Revision of the section whose text is written.
     * @return The answer, as from apply(); refused when the section has no such revision.
     * @throws Error of kind internal when a row cannot be decoded.
     */
    [[nodiscard]] Awaitable<EditResult> restore(Edit edit, Revision revision)
    {
        std::optional<Error> failure;
        try {
            auto record = co_await m_reader.readHistory(revision);
            if (record.section.content.section != edit.section)
                throw noRevision(edit.section, revision);
            edit.text = record.section.content.text;
            edit.schema = record.section.content.schema;
        } catch (const Error& error) {
            failure = error;
        }
        if (failure && failure->kind() == ErrorKind::unavailable)
            co_return rejected(edit, EditStatus::notAccepted, *failure);
        if (failure && failure->kind() == ErrorKind::notFound)
            co_return rejected(edit, EditStatus::refused, *failure);
        if (failure)
            throw *failure;
        auto result = co_await apply(std::move(edit));
        co_return result;
    }

    /**
     * @brief Finds out whether an edit was accepted, and prevents it from taking effect later if it was not.
     * @param ticket Ticket of the edit.
     * @return Status accepted, notAccepted, or outcomeUnknown while the table cannot tell.
     */
    [[nodiscard]] Awaitable<EditResult> outcome(EditTicket ticket)
    {
        for (unsigned attempt = 0; attempt < m_policy.attempts; ++attempt) {
            co_await waitBefore(attempt);
            auto result = co_await tryOutcome(ticket);
            if (result)
                co_return *result;
        }
        co_return unknown(ticket);
    }

private:
    static constexpr const char* retryRemedy = "try again later with the same token";

    [[nodiscard]] static Error tooManyChanges()
    {
        return { ErrorKind::unavailable, "other sections changed during every attempt; nothing was written",
            retryRemedy };
    }

    [[nodiscard]] static Error noRevision(const SectionId& section, Revision revision)
    {
        return { ErrorKind::notFound, fmt::format("section {} has no revision {}", section.value(), revision.value()),
            "read the section and edit its present text" };
    }

    [[nodiscard]] static EditResult unknown(const EditTicket& ticket)
    {
        EditResult result;
        result.status = EditStatus::outcomeUnknown;
        result.ticket = ticket;
        result.error = Error { ErrorKind::outcomeUnknown, "the table did not tell whether the edit was accepted",
            "ask for the outcome with the token; do not send the edit with another token" };
        return result;
    }

    [[nodiscard]] static EditResult notAccepted(const EditTicket& ticket)
    {
        EditResult result;
        result.status = EditStatus::notAccepted;
        result.ticket = ticket;
        result.error = Error { ErrorKind::unavailable, "the edit was not accepted and will not be", retryRemedy };
        return result;
    }

    [[nodiscard]] static EditResult accepted(const EditTicket& ticket, const HistoryRecord& record)
    {
        EditResult result;
        result.status = EditStatus::accepted;
        result.revision = record.section.revision;
        result.ticket = ticket;
        return result;
    }

    [[nodiscard]] Awaitable<> waitBefore(unsigned attempt)
    {
        if (attempt == 0)
            co_return;
        const auto delay = m_policy.retryDelay(attempt);
        co_await sleepFor(delay);
    }

    /*! @brief Gives nothing when the attempt is to be repeated. */
    [[nodiscard]] Awaitable<std::optional<EditResult>> tryOnce(const Edit& edit)
    {
        std::optional<Error> failure;
        PreparedEdit prepared;
        try {
            auto stored = co_await m_reader.readAll();
            if (!stored.isConsistent())
                co_return std::nullopt;
            auto current = stored.find(edit.section);
            if (current.record.revision != edit.base) {
                auto result = co_await resolveBase(edit, current.record);
                co_return result;
            }
            prepared = prepareEdit(stored, edit, m_process, m_policy.capacity);
        } catch (const Error& error) {
            failure = error;
        }
        if (failure && failure->kind() == ErrorKind::unavailable)
            co_return rejected(edit, EditStatus::notAccepted, *failure);
        if (failure && failure->kind() == ErrorKind::notFound)
            co_return rejected(edit, EditStatus::refused, *failure);
        if (failure)
            throw *failure;
        if (!prepared.transaction)
            co_return prepared.result;
        auto result = co_await commit(prepared);
        co_return result;
    }

    [[nodiscard]] Awaitable<std::optional<EditResult>> commit(const PreparedEdit& prepared)
    {
        std::optional<Error> failure;
        CommitResult committed;
        try {
            auto transaction = *prepared.transaction;
            committed = co_await m_table.commit(std::move(transaction));
        } catch (const Error& error) {
            failure = error;
        }
        const auto& ticket = prepared.result.ticket;
        if (!failure && committed.committed)
            co_return prepared.result;
        if (!failure)
            co_return std::nullopt;
        if (failure->kind() == ErrorKind::unavailable) {
            auto result = notAccepted(ticket);
            result.error = failure;
            co_return result;
        }
        if (failure->kind() != ErrorKind::outcomeUnknown)
            throw *failure;
        auto result = co_await outcome(ticket);
        // An edit that certainly was not accepted is tried again.
        if (result.status == EditStatus::notAccepted)
            co_return std::nullopt;
        co_return result;
    }

    /*! @brief Answers an edit whose base is not the present revision: accepted before, or a conflict. */
    [[nodiscard]] Awaitable<EditResult> resolveBase(const Edit& edit, const SectionRecord& current)
    {
        if (edit.base > current.revision)
            throw noRevision(edit.section, edit.base);
        EditTicket ticket { edit.section, edit.token, edit.base, 0 };
        auto record = co_await m_reader.findEdit(ticket);
        if (!record) {
            auto result = co_await conflict(edit, current);
            co_return result;
        }
        if (record->section.content.text == edit.text)
            co_return accepted(ticket, *record);
        auto message = fmt::format("the token belongs to revision {}", record->section.revision.value());
        co_return rejected(edit, EditStatus::refused,
            Error { ErrorKind::invalidArgument, message, "draw a new token for every edit" });
    }

    [[nodiscard]] Awaitable<EditResult> conflict(const Edit& edit, const SectionRecord& current)
    {
        SectionConflict conflict;
        conflict.base = edit.base;
        conflict.current = current.revision;
        conflict.currentAuthor = current.author;
        if (edit.base != Revision {}) {
            auto base = co_await m_reader.readHistory(edit.base);
            if (base.section.content.section != edit.section)
                throw noRevision(edit.section, edit.base);
            conflict.baseText = base.section.content.text;
        }
        conflict.theirText = current.content.text;
        conflict.yourText = edit.text;
        conflict.difference = threeWayDifference(conflict.baseText, conflict.theirText, conflict.yourText);
        auto message = fmt::format("section {} has revision {} by {}, but the edit starts from revision {}",
            edit.section.value(), current.revision.value(), current.author, edit.base.value());
        auto result = rejected(edit, EditStatus::conflict,
            Error { ErrorKind::conflict, message, "merge the difference and send the text with the present revision" });
        result.conflict = std::move(conflict);
        co_return result;
    }

    /*! @brief Gives nothing when the head changed meanwhile. */
    [[nodiscard]] Awaitable<std::optional<EditResult>> tryOutcome(const EditTicket& ticket)
    {
        std::optional<Error> failure;
        try {
            std::string key { DocumentKeys::head };
            auto head = co_await m_table.get(std::move(key));
            auto record = co_await m_reader.findEdit(ticket);
            if (record)
                co_return accepted(ticket, *record);
            // The head moved before the section was read, so the commit is already decided.
            if (ticket.headVersion != 0 && head.version != ticket.headVersion)
                co_return notAccepted(ticket);
            const bool isFenced = co_await rewriteHead(head);
            if (isFenced)
                co_return notAccepted(ticket);
            co_return std::nullopt;
        } catch (const Error& error) {
            failure = error;
        }
        if (failure->kind() != ErrorKind::unavailable && failure->kind() != ErrorKind::outcomeUnknown)
            throw *failure;
        co_return unknown(ticket);
    }

    /*! @brief Gives the unchanged head a new version, so a commit that is still under way fails its condition. */
    [[nodiscard]] Awaitable<bool> rewriteHead(const Row& head)
    {
        auto value = head.exists() ? head.value : RecordCodec::encode(HeadRecord {});
        Transaction transaction;
        transaction.conditions.push_back(Condition { head.key, head.version });
        transaction.writes.push_back(Write { head.key, std::move(value) });
        auto result = co_await m_table.commit(std::move(transaction));
        co_return result.committed;
    }

    Type& m_table;
    DocumentReader<Type> m_reader;
    EntryId m_process;
    EditPolicy m_policy;
};

}
