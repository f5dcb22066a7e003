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
 * Each edit is one transaction, so a process that crashes between two steps leaves either the whole edit or nothing.
 * Edits may run concurrently in one or several processes.
 *
 * @tparam Type A Table.
 */
template <Table Type>
class DocumentStore {
public:
    /**
     * @brief Constructs a store.
     * @param table The table; must outlive the store.
     * @param process This process, for the audit trail.
     * @param policy Number of attempts, retry delay and capacity check.
     */
    DocumentStore(Type& table, EntryId process, EditPolicy policy)
        : m_table { table }
        , m_reader { table }
        , m_process { std::move(process) }
        , m_policy { std::move(policy) }
    {
    }

    /**
     * @brief Reads head and sections at one revision.
     * @return The document.
     * @throws Error of kind unavailable when the table is unavailable or the document changed during every attempt.
     */
    [[nodiscard]] Awaitable<StoredDocument> read()
    {
        for (unsigned attempt = 0; attempt < m_policy.attempts; ++attempt) {
            co_await waitBeforeAttempt(attempt);
            auto stored = co_await m_reader.readAll();
            if (stored.isConsistent())
                co_return stored;
        }
        throw concurrentChangesError();
    }

    /**
     * @brief Applies an edit.
     * @param edit The edit; repeated attempts with the same token are accepted only once.
     * @return The result; expected failures are returned in it and not thrown.
     * @throws Error of kind internal when a row cannot be decoded.
     */
    [[nodiscard]] Awaitable<EditResult> apply(Edit edit)
    {
        for (unsigned attempt = 0; attempt < m_policy.attempts; ++attempt) {
            co_await waitBeforeAttempt(attempt);
            auto result = co_await attemptEdit(edit);
            if (result)
                co_return *result;
        }
        co_return rejected(edit, EditStatus::notAccepted, concurrentChangesError());
    }

    /**
     * @brief Applies an edit that restores an older text of the section as a new revision.
     * @param edit The edit; its text and schema are replaced.
     * @param revision Revision of the section whose text is restored.
     * @return The result, as from apply(); refused when the section has no such revision.
     * @throws Error of kind internal when a row cannot be decoded.
     */
    [[nodiscard]] Awaitable<EditResult> restore(Edit edit, Revision revision)
    {
        std::optional<Error> failure;
        try {
            auto record = co_await m_reader.readHistory(revision);
            if (record.section.content.section != edit.section)
                throw revisionNotFoundError(edit.section, revision);
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
     * @brief Determines whether an edit was accepted; if it was not, prevents it from taking effect later.
     * @param ticket Ticket of the edit.
     * @return Status accepted, notAccepted, or outcomeUnknown when it could not be determined.
     */
    [[nodiscard]] Awaitable<EditResult> outcome(EditTicket ticket)
    {
        for (unsigned attempt = 0; attempt < m_policy.attempts; ++attempt) {
            co_await waitBeforeAttempt(attempt);
            auto result = co_await attemptOutcome(ticket);
            if (result)
                co_return *result;
        }
        co_return unknownOutcome(ticket);
    }

private:
    static constexpr const char* retryRemedy = "try again later with the same token";

    [[nodiscard]] static Error concurrentChangesError()
    {
        return { ErrorKind::unavailable, "other sections changed during every attempt; nothing was written",
            retryRemedy };
    }

    [[nodiscard]] static Error revisionNotFoundError(const SectionId& section, Revision revision)
    {
        return { ErrorKind::notFound, fmt::format("section {} has no revision {}", section.value(), revision.value()),
            "read the section and edit its current text" };
    }

    [[nodiscard]] static EditResult unknownOutcome(const EditTicket& ticket)
    {
        EditResult result;
        result.status = EditStatus::outcomeUnknown;
        result.ticket = ticket;
        result.error = Error { ErrorKind::outcomeUnknown, "cannot determine whether the edit was accepted",
            "query the outcome with the token; do not send the edit with another token" };
        return result;
    }

    [[nodiscard]] static EditResult notAccepted(const EditTicket& ticket)
    {
        EditResult result;
        result.status = EditStatus::notAccepted;
        result.ticket = ticket;
        result.error
            = Error { ErrorKind::unavailable, "the edit was not accepted and will not take effect", retryRemedy };
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

    [[nodiscard]] Awaitable<> waitBeforeAttempt(unsigned attempt)
    {
        if (attempt == 0)
            co_return;
        const auto delay = m_policy.retryDelay(attempt);
        co_await sleepFor(delay);
    }

    /*! @brief Returns no value when the attempt must be repeated. */
    [[nodiscard]] Awaitable<std::optional<EditResult>> attemptEdit(const Edit& edit)
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
        // The edit was certainly not accepted, so it is retried.
        if (result.status == EditStatus::notAccepted)
            co_return std::nullopt;
        co_return result;
    }

    /*! @brief Resolves an edit whose base is not the current revision: accepted earlier, or a conflict. */
    [[nodiscard]] Awaitable<EditResult> resolveBase(const Edit& edit, const SectionRecord& current)
    {
        if (edit.base > current.revision)
            throw revisionNotFoundError(edit.section, edit.base);
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
            Error { ErrorKind::invalidArgument, message, "generate a new token for every edit" });
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
                throw revisionNotFoundError(edit.section, edit.base);
            conflict.baseText = base.section.content.text;
        }
        conflict.theirText = current.content.text;
        conflict.yourText = edit.text;
        conflict.difference = threeWayDifference(conflict.baseText, conflict.theirText, conflict.yourText);
        auto message = fmt::format("section {} has revision {} by {}, but the edit is based on revision {}",
            edit.section.value(), current.revision.value(), current.author, edit.base.value());
        auto result = rejected(edit, EditStatus::conflict,
            Error { ErrorKind::conflict, message, "merge the difference and send the text with the current revision" });
        result.conflict = std::move(conflict);
        co_return result;
    }

    /*! @brief Returns no value when the head changed in the meantime. */
    [[nodiscard]] Awaitable<std::optional<EditResult>> attemptOutcome(const EditTicket& ticket)
    {
        std::optional<Error> failure;
        try {
            std::string key { DocumentKeys::head };
            auto head = co_await m_table.get(std::move(key));
            auto record = co_await m_reader.findEdit(ticket);
            if (record)
                co_return accepted(ticket, *record);
            // The head changed before the section was read, so the outcome of the commit is already final.
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
        co_return unknownOutcome(ticket);
    }

    /*! @brief Rewrites the unchanged head to increase its version, so that a commit in flight fails its condition. */
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
