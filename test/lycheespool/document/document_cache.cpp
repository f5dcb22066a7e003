#include "lycheespool/document/document_cache.h"
#include "lycheespool/core/error.h"
#include "lycheespool/document/document_watcher.h"
#include "lycheespool/document/freshness.h"
#include "lycheespool/document/sample.h"

#include <doctest/doctest.h>

using namespace lycheespool;
using namespace lycheespool::test;
using namespace std::chrono_literals;

namespace {

HeadRecord headAt(std::uint64_t revision, std::uint64_t digest = 7) { return { Revision { revision }, digest, {} }; }

constexpr TimePoint start {};

struct WatcherFixture {
    DocumentCache cache;
    Metrics metrics;
    ManualClock clock;
};

}

// Guards against a process that acts on a stale document because its age was measured from the arrival of a slow reply.
TEST_CASE("a cache is fresh for 2 s from the send time of the read")
{
    DocumentCache cache;
    CHECK_FALSE(cache.isFresh(start));
    CHECK(cache.accept({}, headAt(1), start));
    CHECK(cache.isFresh(start + 2s));
    CHECK_FALSE(cache.isFresh(start + 2s + 1ns));
    CHECK(cache.confirm(headAt(1), start + 1s));
    CHECK(cache.confirm(headAt(1), start));
    CHECK(cache.isFresh(start + 3s));
}

// Guards against a slow reader that returns a process to an older document.
TEST_CASE("a cache rejects lower revisions and conflicting digests")
{
    DocumentCache cache;
    CHECK(cache.accept({}, headAt(5), start));
    CHECK_FALSE(cache.accept({}, headAt(4), start + 1s));
    CHECK_FALSE(cache.confirm(headAt(4), start + 1s));
    CHECK(cache.state()->sentAt == start);
    CHECK_THROWS_AS(cache.confirm(headAt(5, 8), start + 1s), Error);
    cache.observe(Revision { 6 });
    CHECK_FALSE(cache.isFresh(start));
    CHECK_FALSE(cache.accept({}, headAt(5), start));
    CHECK(cache.accept({}, headAt(6), start));
    CHECK(cache.isFresh(start));
}

// Guards against a proof that understates its age, or that has an age although there is no document.
TEST_CASE("the freshness proof rounds the age up and has no age without a document")
{
    DocumentCache cache;
    CHECK(toFreshness(*cache.state(), start).ageMs == unknownAgeMs);
    Document document;
    document.zones.zones = { { ZoneId { "z1" }, false, "work" } };
    CHECK(cache.accept(document, headAt(1), start));
    const auto proof = toFreshness(*cache.state(), start + 10ms + 1ns);
    CHECK(proof.ageMs == 11);
    CHECK(proof.digest == 7);
    CHECK(proof.zonesOut == std::vector { ZoneId { "z1" } });
    cache.observe(Revision { 2 });
    CHECK(toFreshness(*cache.state(), start).ageMs == unknownAgeMs);
}

// Guards against a watcher that rereads all sections for each change, or misses a change or a removal.
TEST_CASE("a watcher follows the document and reads only what changed")
{
    Sample sample;
    WatcherFixture fixture;
    DocumentWatcher watcher { sample.table, fixture.cache, fixture.metrics, fixture.clock };
    CHECK(run(watcher.poll()));
    CHECK_FALSE(run(watcher.poll()));
    const auto document = fixture.cache.state()->document;
    CHECK(document->revision == Revision { 4 });
    CHECK(document->zones.zones.size() == 3);
    CHECK(document->workspaces.size() == 2);
    static_cast<void>(sample.apply(newEdit(alpha, Revision { 3 }, workspaceText(alpha, 8))));
    static_cast<void>(sample.apply(newEdit(beta, Revision { 4 }, "")));
    CHECK(sample.rows.commit({ {}, { { "document/section/zones", std::nullopt } } }).committed);
    CHECK(run(watcher.poll()));
    const auto next = fixture.cache.state()->document;
    CHECK(next->workspaces.size() == 1);
    CHECK(next->workspaces.begin()->second.priority == 8);
    CHECK(next->zones.zones.size() == 3);
}

// Guards against a document that counts as fresh although the table did not respond.
TEST_CASE("a cache becomes stale while the table is unavailable and recovers afterwards")
{
    Sample sample;
    WatcherFixture fixture;
    DocumentWatcher watcher { sample.table, fixture.cache, fixture.metrics, fixture.clock };
    CHECK(run(watcher.poll()));
    sample.faults.down = true;
    fixture.clock.advance(2s + 1ns);
    CHECK_THROWS_AS(run(watcher.poll()), Error);
    CHECK_FALSE(fixture.cache.isFresh(fixture.clock.now()));
    sample.faults.down = false;
    CHECK_FALSE(run(watcher.poll()));
    CHECK(fixture.cache.isFresh(fixture.clock.now()));
}
