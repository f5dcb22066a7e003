#include "lycheespool/wire/frame.h"
#include "lycheespool/core/error.h"
#include "lycheespool/wire/messages.h"
#include "lycheespool/wire/node_messages.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

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
