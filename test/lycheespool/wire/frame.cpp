#include "lycheespool/wire/frame.h"
#include "lycheespool/core/error.h"
#include "lycheespool/wire/messages.h"
#include "lycheespool/wire/node_messages.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <limits>

using namespace lycheespool;

namespace {

std::string_view bodyOf(const Frame& frame) { return std::string_view { frame.bytes }.substr(frameHeaderBytes); }

bool decodesOrIsRefused(std::string_view bytes)
{
    try {
        const auto envelope = decodeFrame(bytes);
        (void)envelope.as<Execute>();
        return true;
    } catch (const Error& error) {
        return error.kind() == ErrorKind::malformedFrame;
    }
}

}

// Guards against a field that is lost or changed between two processes.
TEST_CASE("an encoded message is decoded unchanged")
{
    CHECK(rc::check(
        [](std::uint64_t correlation, std::uint64_t request, const std::string& key, const std::string& body) {
            Execute message;
            message.request = request;
            message.incarnation = Incarnation { correlation ^ request };
            message.key = key;
            message.body = body;
            const auto frame = encodeFrame(message, correlation);
            RC_ASSERT(decodeFrameSize(frame.bytes) + frameHeaderBytes == frame.bytes.size());
            const auto envelope = decodeFrame(bodyOf(frame));
            const auto decoded = envelope.as<Execute>();
            RC_ASSERT(envelope.correlation == correlation);
            RC_ASSERT(decoded.request == request);
            RC_ASSERT(decoded.incarnation == message.incarnation);
            RC_ASSERT(decoded.key == key);
            RC_ASSERT(decoded.body == body);
        }));
}

// Guards against crashes and other errors than the typed one on hostile bytes.
TEST_CASE("random bytes are refused as malformed")
{
    CHECK(rc::check([](const std::string& bytes) { RC_ASSERT(decodesOrIsRefused(bytes)); }));
}

// Guards against crashes on a frame that was damaged or cut in transit.
TEST_CASE("a damaged message is decoded or refused as malformed")
{
    CHECK(rc::check([](const std::string& body, std::uint16_t position, std::uint8_t flip, std::uint16_t cut) {
        Execute message;
        message.body = body;
        auto bytes = std::string { bodyOf(encodeFrame(message, 1)) };
        bytes[position % bytes.size()] ^= static_cast<char>(flip);
        bytes.resize(bytes.size() - cut % bytes.size());
        RC_ASSERT(decodesOrIsRefused(bytes));
    }));
}

// Guards against memory that a hostile length field makes a process allocate.
TEST_CASE("an oversized or empty frame is refused before it is read")
{
    CHECK_THROWS_AS((void)decodeFrameSize(std::string_view { "\xff\xff\xff\xff", 4 }), Error);
    CHECK_THROWS_AS((void)decodeFrameSize(std::string_view { "\0\0\0\0", 4 }), Error);
}

// Guards against reports of agents of the previous version that the leader cannot read during a rolling upgrade.
TEST_CASE("a report without the extent of its lists leaves the extent unstated")
{
    NodeReport sent;
    sent.node = "node";
    sent.listExtent = ListExtent::complete;
    msgpack::zone zone;
    msgpack::object object { sent, zone };
    CHECK(object.as<NodeReport>().listExtent == ListExtent::complete);
    --object.via.array.size;
    CHECK(object.as<NodeReport>().listExtent == ListExtent::unstated);
    CHECK(object.as<NodeReport>().node == "node");
}

TEST_CASE("orders beyond the size of a frame are split, and none is lost")
{
    NodeOrders orders;
    orders.epoch = Epoch { 7 };
    orders.lifetime = { "i-7f3a91c2", 1'780'000'000'000 };
    orders.endsStored = 9;
    for (std::uint64_t i = 1; i <= 1000; ++i) {
        const std::size_t payloadBytes = i == 500 ? 500'000 : i % 3 == 0 ? 0 : 4'000;
        orders.orders.push_back({ i % 3 != 0, "job.0.0." + std::to_string(i), i, std::string(payloadBytes, 'x'), {} });
    }
    std::uint64_t next = 1;
    for (const auto& it : splitOrders(std::move(orders))) {
        const auto frame = encodeFrame(it, std::numeric_limits<std::uint64_t>::max());
        const auto decoded = decodeFrame(bodyOf(frame)).as<NodeOrders>();
        CHECK(decoded.epoch == Epoch { 7 });
        CHECK(decoded.endsStored == 9);
        CHECK((decoded.orders.size() == 1 || frame.bytes.size() < maxOrdersBytes + 1024));
        for (const auto& order : decoded.orders)
            CHECK(order.run == next++);
    }
    CHECK(next == 1001);
}

TEST_CASE("the largest order that may be sent fits into a frame")
{
    RunOrder order { true, "job.0.0.0", std::numeric_limits<std::uint64_t>::max(), {}, {} };
    order.payload.resize(maxOrderBytes - encodedBytes(order));
    NodeOrders orders { Epoch { std::numeric_limits<std::uint64_t>::max() }, { std::string(200, 'x'), 1 << 30 },
        std::numeric_limits<std::uint64_t>::max(), std::numeric_limits<std::uint64_t>::max(), { order } };
    CHECK_NOTHROW((void)encodeFrame(orders, std::numeric_limits<std::uint64_t>::max()));
}

// Guards against a report that exceeds a frame, so that its executor is taken for lost while it runs.
TEST_CASE("a report with the largest number of runs and ends fits into a frame")
{
    constexpr std::size_t endsPerList = 500;
    const std::string task = "0123456789abcdef.4294967295.4294967295.4294967295";
    const std::string checkpoint(32, 'c');
    const auto run = std::numeric_limits<std::uint64_t>::max();
    NodeReport report;
    report.running.assign(maxRunsPerReport, { task, run, checkpoint, 100 });
    report.ended.assign(endsPerList, { run, task, run, RunEndKind::stopped, checkpoint });
    CHECK(encodeFrame(report, 1).bytes.size() <= maxFrameBytes);
    report.ended.clear();
    const auto empty = encodeFrame(NodeReport {}, 1).bytes.size();
    CHECK(encodeFrame(report, 1).bytes.size() - empty <= maxRunsPerReport * maxReportedRunBytes);
}
