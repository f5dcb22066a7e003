#pragma once

#include "lycheespool/core/error.h"
#include "lycheespool/request/claim.h"
#include "lycheespool/store/table.h"

#include <fmt/format.h>

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <utility>

namespace lycheespool {

/**
 * @brief Claims of non-idempotent requests in the table; usable from several threads.
 *
 * Every write is conditional on the version that the caller saw, so of two entries that act on the same row only one
 * succeeds. When the answer of a write was lost, the row is read back and compared by the token of the write.
 *
 * @tparam TableType Model of Table.
 */
template <Table TableType>
class ClaimStore {
public:
    /*! @brief Largest body that a row keeps, in bytes; a table row is meant for small values. */
    static constexpr std::size_t maxStoredBody = std::size_t { 64 } * 1024;

    /**
     * @brief Makes the store of one entry.
     * @param entry Name of the entry.
     * @param table Table service; must outlive the store.
     */
    ClaimStore(EntryId entry, TableType& table)
        : m_entry { std::move(entry) }
        , m_table { table }
    {
    }

    /**
     * @brief Inserts the claim of a request, or reads the one that exists.
     * @param workspace Workspace of the request.
     * @param key Key of the request.
     * @param digest Digest of its body.
     * @return The row; the caller compares its digest.
     * @throws Error of kind unavailable when the table gave no usable answer.
     */
    [[nodiscard]] Awaitable<Claim> open(WorkspaceId workspace, RequestKey key, std::string digest)
    {
        Claim none;
        none.key = claimRowKey(workspace, key);
        ClaimRow row;
        row.digest = std::move(digest);
        auto write = co_await replace(std::move(none), std::move(row));
        co_return std::move(write.claim);
    }

    /**
     * @brief Records the agent to which the request is about to be sent.
     * @param claim The row as seen last.
     * @param agent The agent.
     * @param incarnation Its incarnation.
     * @return Won when the caller may send the request.
     * @throws Error of kind unavailable when it is not known that the write took effect; the request must not be sent.
     */
    [[nodiscard]] Awaitable<ClaimWrite> dispatch(Claim claim, AgentId agent, Incarnation incarnation)
    {
        auto row = claim.row;
        row.state = ClaimState::dispatched;
        row.agent = std::move(agent);
        row.incarnation = incarnation;
        co_return co_await replace(std::move(claim), std::move(row));
    }

    /**
     * @brief Makes the row of a request that has its answer.
     * @param claim The dispatched row.
     * @param status Status of the answer.
     * @param body Body of the answer; not stored when longer than maxStoredBody.
     * @return Content for replace().
     */
    [[nodiscard]] static ClaimRow doneRow(const Claim& claim, unsigned status, const std::string& body)
    {
        auto row = claim.row;
        row.state = ClaimState::done;
        row.answer.status = status;
        row.answer.complete = body.size() <= maxStoredBody;
        if (row.answer.complete)
            row.answer.body = body;
        return row;
    }

    /**
     * @brief Makes the row of a request that is proved not to have run, so that any entry may dispatch it.
     * @param claim The dispatched row.
     * @return Content for replace().
     */
    [[nodiscard]] static ClaimRow claimedRow(const Claim& claim)
    {
        auto row = claim.row;
        row.state = ClaimState::claimed;
        return row;
    }

    /**
     * @brief Replaces a row if it still has the version that was seen.
     * @param seen The row as seen last.
     * @param next New content; entry and token are filled in.
     * @return Won, or the row that another writer left.
     * @throws Error of kind unavailable when it is not known whether the write took effect.
     */
    [[nodiscard]] Awaitable<ClaimWrite> replace(Claim seen, ClaimRow next)
    {
        next.entry = m_entry;
        next.token = nextToken();
        ClaimWrite result;
        result.claim.key = seen.key;
        for (unsigned i = 0; i < maxWrites; ++i) {
            const auto commit = co_await tryCommit(seen, next);
            if (commit.committed) {
                result.won = true;
                result.claim.version = commit.version;
                result.claim.row = std::move(next);
                co_return result;
            }
            const auto row = co_await m_table.get(seen.key);
            // A row is never inserted again by a writer that saw it before: the request may have run meanwhile.
            if (!row.exists() && seen.version != 0)
                throw Error { ErrorKind::unavailable, "claim row " + seen.key + " is gone", "retry with the same key" };
            if (row.version != seen.version) {
                result.claim.version = row.version;
                result.claim.row = decodeClaim(row.value);
                result.won = result.claim.row.token == next.token;
                co_return result;
            }
            // The row is as it was. The same write with the same condition can take effect only once, even if the
            // first one is still under way.
        }
        throw Error { ErrorKind::unavailable, "answers of the table were lost repeatedly", "retry later" };
    }

private:
    // One write and one repetition after its answer was lost; more would delay the refusal of the request.
    static constexpr unsigned maxWrites = 2;

    /*! @brief Not committed also when the answer was lost; the row must be read back then. */
    [[nodiscard]] Awaitable<CommitResult> tryCommit(const Claim& seen, const ClaimRow& next)
    {
        Transaction transaction;
        transaction.conditions.push_back({ seen.key, seen.version });
        transaction.writes.push_back({ seen.key, encodeClaim(next) });
        CommitResult result;
        try {
            result = co_await m_table.commit(std::move(transaction));
        } catch (const Error& error) {
            if (error.kind() != ErrorKind::outcomeUnknown)
                throw;
        }
        co_return result;
    }

    [[nodiscard]] std::string nextToken()
    {
        return fmt::format("{}-{:016x}-{}", m_entry.value(), m_nonce, m_nextToken.fetch_add(1));
    }

    [[nodiscard]] static std::uint64_t drawNonce()
    {
        std::random_device device;
        return (std::uint64_t { device() } << 32U) | device();
    }

    EntryId m_entry;
    TableType& m_table;
    /*! @brief Distinguishes the runs of an entry that keeps its name. */
    std::uint64_t m_nonce { drawNonce() };
    std::atomic<std::uint64_t> m_nextToken { 1 };
};

}
