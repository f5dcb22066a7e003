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
 * @brief Claims of non-idempotent requests in the table; thread-safe.
 *
 * Every write is conditional on the version that the caller read, so only one of two entries that write the same row
 * succeeds. If the response to a write is lost, the row is read back and compared by the token of the write.
 *
 * @tparam TableType Model of Table.
 */
template <Table TableType>
class ClaimStore {
public:
    /*! @brief Largest body that a row stores, in bytes; a table row is meant for small values. */
    static constexpr std::size_t maxStoredBody = std::size_t { 64 } * 1024;

    /**
     * @brief Constructs the store of one entry.
     * @param entry Name of the entry.
     * @param table Table service; must outlive the store.
     */
    ClaimStore(EntryId entry, TableType& table)
        : m_entry { std::move(entry) }
        , m_table { table }
    {
    }

    /**
     * @brief Inserts the claim of a request, or reads the existing one.
     * @param workspace Workspace of the request.
     * @param key Key of the request.
     * @param digest Digest of its body.
     * @return The row; the caller must compare its digest.
     * @throws Error of kind unavailable if the table returned no usable response.
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
     * @param claim The row as last read.
     * @param agent The agent.
     * @param incarnation Its incarnation.
     * @return Whether the write took effect; only then may the caller send the request.
     * @throws Error of kind unavailable if it is unknown whether the write took effect; the request must not be sent.
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
     * @brief Returns the row content of a request that was answered.
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
     * @brief Returns the row content of a request that is proved not to have run, so that any entry may dispatch it.
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
     * @brief Replaces a row if it still has the version that was read.
     * @param seen The row as last read.
     * @param next New content; entry and token are filled in.
     * @return Whether the write took effect, and the row after it or the row of another writer.
     * @throws Error of kind unavailable if it is unknown whether the write took effect.
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
                result.applied = true;
                result.claim.version = commit.version;
                result.claim.row = std::move(next);
                co_return result;
            }
            const auto row = co_await m_table.get(seen.key);
            // A writer that has read the row never inserts it again: the request may have run meanwhile.
            if (!row.exists() && seen.version != 0)
                throw Error { ErrorKind::unavailable, "claim row " + seen.key + " was removed",
                    "retry with the same key" };
            if (row.version != seen.version) {
                result.claim.version = row.version;
                result.claim.row = decodeClaim(row.value);
                result.applied = result.claim.row.token == next.token;
                co_return result;
            }
            // The row is unchanged. The same write with the same condition takes effect at most once, even if the
            // first one is still in flight.
        }
        throw Error { ErrorKind::unavailable, "the responses of the table were lost repeatedly", "retry later" };
    }

private:
    // One write and one retry after a lost response; more would delay the refusal of the request.
    static constexpr unsigned maxWrites = 2;

    /*! @brief Also returns "not committed" if the response was lost; the caller must then read the row back. */
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
    /*! @brief Distinguishes process lifetimes of entries with the same name. */
    std::uint64_t m_nonce { drawNonce() };
    std::atomic<std::uint64_t> m_nextToken { 1 };
};

}
