#include "lycheespool/store/memory_table.h"
#include "lycheespool/store/emulated_table.h"
#include "lycheespool/store/http_table.h"
#include "lycheespool/store/table.h"
#include "lycheespool/store/table_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace lycheespool;

static_assert(Table<EmulatedTable>);
static_assert(Table<HttpTable>);

// Guards against a transaction that applies some of its writes although a condition failed.
TEST_CASE("a transaction with a failed condition writes nothing")
{
    MemoryTable table;
    CHECK(table.commit({ { { "a", 0 } }, { { "a", "1" } } }).committed);
    const auto result = table.commit({ { { "a", 0 }, { "b", 0 } }, { { "a", "2" }, { "b", "2" } } });
    CHECK_FALSE(result.committed);
    CHECK(result.conflicts == std::vector<std::string> { "a" });
    CHECK(table.get("a").value == "1");
    CHECK_FALSE(table.get("b").exists());
}

// Guards against a version that is used twice, which would let a stale conditional write succeed.
TEST_CASE("a row that was deleted and written again has a new version")
{
    MemoryTable table;
    const auto first = table.commit({ {}, { { "a", "1" } } }).version;
    CHECK(table.commit({ {}, { { "a", std::nullopt } } }).committed);
    CHECK(table.commit({ { { "a", 0 } }, { { "a", "2" } } }).committed);
    CHECK(table.get("a").version > first);
}

// Guards against keys or values that change on their way to the table service.
TEST_CASE("a transaction is decoded as it was encoded")
{
    CHECK(rc::check([](std::uint64_t version, bool erase) {
        const auto key = *rc::gen::container<std::string>(rc::gen::inRange<char>(32, 127));
        const auto value = erase ? std::nullopt : std::optional { key + key };
        const Transaction transaction { { { key, version } }, { { key, value } } };
        const auto decoded = TableCodec::decodeTransaction(TableCodec::encode(transaction));
        RC_ASSERT(decoded.conditions.at(0).key == key);
        RC_ASSERT(decoded.conditions.at(0).version == version);
        RC_ASSERT(decoded.writes.at(0).key == key);
        RC_ASSERT(decoded.writes.at(0).value == value);
    }));
}
