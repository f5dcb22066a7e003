#include "lycheespool/request/claim_store.h"
#include "lycheespool/store/emulated_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace lycheespool;

namespace {

struct Fixture {
    MemoryTable rows;
    TableFaults faults;
    EmulatedTable table { rows, faults };
    ClaimStore<EmulatedTable> first { EntryId { "first" }, table };
    ClaimStore<EmulatedTable> second { EntryId { "second" }, table };

    template <typename Result>
    Result await(Awaitable<Result> operation)
    {
        asio::io_context context;
        auto future = asio::co_spawn(context, std::move(operation), asio::use_future);
        context.run();
        return future.get();
    }

    Claim open(ClaimStore<EmulatedTable>& store, const std::string& digest = "d")
    {
        return await(store.open(WorkspaceId { "w" }, RequestKey { "k" }, digest));
    }

    ClaimWrite dispatch(ClaimStore<EmulatedTable>& store, const Claim& claim)
    {
        return await(store.dispatch(claim, AgentId { "a" }, Incarnation { 7 }));
    }
};

}

// Guards against two entries that both send a request after both read its row as claimed.
TEST_CASE("only one of two dispatches of the same claim wins")
{
    Fixture it;
    const auto firstClaim = it.open(it.first);
    const auto secondClaim = it.open(it.second, "other");
    CHECK(secondClaim.row.digest == "d");
    const auto firstWrite = it.dispatch(it.second, secondClaim);
    CHECK(firstWrite.applied);
    const auto secondWrite = it.dispatch(it.first, firstClaim);
    CHECK_FALSE(secondWrite.applied);
    CHECK(secondWrite.claim.row.state == ClaimState::dispatched);
    CHECK(secondWrite.claim.row.entry == EntryId { "second" });
}

// Guards against a write that counts as failed, or is applied twice, because the table's response was lost.
TEST_CASE("a write whose response was lost is recognised by its token")
{
    Fixture it;
    it.faults.loseAnswers = 1;
    const auto claim = it.open(it.first);
    const auto version = it.rows.get(claim.key).version;
    CHECK(claim.version == version);
    it.faults.loseAnswers = 1;
    const auto write = it.dispatch(it.first, claim);
    CHECK(write.applied);
    CHECK(it.rows.get(claim.key).version == version + 1);
}

// Guards against a request that is sent although its dispatch could not be recorded.
TEST_CASE("a write that cannot be read back is an error")
{
    Fixture it;
    const auto claim = it.open(it.first);
    it.faults.down = true;
    CHECK_THROWS_AS((void)it.dispatch(it.first, claim), Error);
}

// Guards against a removed row that is inserted again, which would lose the record that the request ran.
TEST_CASE("a claim whose row was removed is not dispatched")
{
    Fixture it;
    const auto claim = it.open(it.first);
    CHECK(it.rows.commit({ {}, { { claim.key, std::nullopt } } }).committed);
    CHECK_THROWS_AS((void)it.dispatch(it.first, claim), Error);
    CHECK_FALSE(it.rows.get(claim.key).exists());
}

// Guards against a binary answer that the JSON encoding of the row corrupts.
TEST_CASE("encoding and decoding a row preserves its content")
{
    CHECK(rc::check([](const std::string& body, std::uint64_t incarnation, unsigned status) {
        ClaimRow row;
        row.state = ClaimState::done;
        row.agent = AgentId { "a" };
        row.incarnation = Incarnation { incarnation };
        row.answer = { status, body, true };
        const auto decoded = decodeClaim(encodeClaim(row));
        RC_ASSERT(decoded.state == row.state);
        RC_ASSERT(decoded.incarnation == row.incarnation);
        RC_ASSERT(decoded.answer.status == status);
        RC_ASSERT(decoded.answer.body == body);
    }));
    CHECK_THROWS_AS((void)decodeClaim("{}"), Error);
}

// Guards against two requests of different workspaces that share a claim.
TEST_CASE("rows of different requests have different keys")
{
    CHECK(claimRowKey(WorkspaceId { "a/b" }, RequestKey { "c" })
        != claimRowKey(WorkspaceId { "a" }, RequestKey { "b/c" }));
    CHECK(claimRowKey(WorkspaceId { "a" }, RequestKey { "c" }) == "claim/a/c");
}
