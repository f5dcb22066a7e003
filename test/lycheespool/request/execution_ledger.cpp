#include "lycheespool/request/execution_ledger.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace lycheespool;

namespace {

constexpr Incarnation self { 5 };

Inquire inquiryFor(const std::string& key, Incarnation incarnation = self)
{
    Inquire message;
    message.key = key;
    message.incarnation = incarnation;
    return message;
}

}

// Guards against a second run of a key whose frame arrives twice.
TEST_CASE("a key runs once and is answered from the ledger afterwards")
{
    ExecutionLedger ledger { self };
    const TimePoint now {};
    CHECK(ledger.begin("k", now).run);
    CHECK(ledger.begin("k", now).outcome == Outcome::unknown);
    CHECK(ledger.inquire(inquiryFor("k"), now).state == ExecutionState::running);
    ledger.finish("k", 201, "answer", now);
    const auto again = ledger.begin("k", now);
    CHECK_FALSE(again.run);
    CHECK(again.outcome == Outcome::done);
    CHECK(again.body == "answer");
    CHECK(ledger.inquire(inquiryFor("k"), now).status == 201);
}

// Guards against a late frame that runs after the agent reported the request as not run.
TEST_CASE("a tombstoned key never runs")
{
    ExecutionLedger ledger { self };
    const TimePoint now {};
    CHECK(ledger.inquire(inquiryFor("k"), now).state == ExecutionState::tombstoned);
    const auto decision = ledger.begin("k", now + std::chrono::hours { 24 });
    CHECK_FALSE(decision.run);
    CHECK(decision.outcome == Outcome::notRun);
}

// Guards against a restarted agent that answers for its previous incarnation.
TEST_CASE("a key of another incarnation is reported as not seen")
{
    ExecutionLedger ledger { self };
    CHECK(ledger.inquire(inquiryFor("k", Incarnation { 4 }), {}).state == ExecutionState::notSeen);
    CHECK(ledger.begin("k", {}).run);
}

// Guards against a request that cannot be sent again although the executor refused the connection.
TEST_CASE("a released key may run again")
{
    ExecutionLedger ledger { self };
    CHECK(ledger.begin("k", {}).run);
    ledger.release("k");
    CHECK(ledger.begin("k", {}).run);
}

// Guards against "did not run" for a request that the executor may have run.
TEST_CASE("an abandoned key neither runs again nor is tombstoned")
{
    ExecutionLedger ledger { self };
    CHECK(ledger.begin("k", {}).run);
    ledger.abandon("k", {});
    CHECK(ledger.inquire(inquiryFor("k"), {}).state == ExecutionState::notSeen);
    CHECK_FALSE(ledger.begin("k", {}).run);
}

// Guards against tombstones that are dropped to stay within the limit, which would let a late frame run.
TEST_CASE("a full set of tombstones refuses new ones")
{
    LedgerLimits limits;
    limits.tombstones = 1;
    ExecutionLedger ledger { self, limits };
    CHECK(ledger.inquire(inquiryFor("a"), {}).state == ExecutionState::tombstoned);
    CHECK(ledger.inquire(inquiryFor("b"), {}).state == ExecutionState::notSeen);
    CHECK_FALSE(ledger.begin("a", {}).run);
}

// Guards against unbounded memory, and against a dropped key that is reported as not run.
TEST_CASE("the ledger stays within its limits and never reports a key that ran as not run")
{
    CHECK(rc::check([](const std::vector<std::uint8_t>& operations) {
        LedgerLimits limits;
        limits.keys = 4;
        limits.bytes = 100;
        limits.age = std::chrono::seconds { 20 };
        ExecutionLedger ledger { self, limits };
        std::set<std::string> ran;
        TimePoint now {};
        for (const auto it : operations) {
            now += std::chrono::seconds { 1 };
            const auto key = std::to_string(it % 16U);
            if (it < 128 && ledger.begin(key, now).run) {
                ran.insert(key);
                ledger.finish(key, 200, std::string(it % 64U, 'x'), now);
            } else if (it >= 128 && ledger.inquire(inquiryFor(key), now).state == ExecutionState::tombstoned) {
                RC_ASSERT(!ran.contains(key));
            }
            RC_ASSERT(ledger.size() <= limits.keys);
            RC_ASSERT(ledger.bytes() <= limits.bytes);
        }
    }));
}
