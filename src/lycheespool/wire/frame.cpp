#include "lycheespool/wire/frame.h"

#include "lycheespool/core/error.h"

#include <boost/endian/conversion.hpp>

#include <fmt/format.h>

namespace lycheespool {

namespace {

constexpr std::size_t maxElements = 16384;
constexpr std::size_t maxDepth = 8;

[[noreturn]] void throwMalformed(const std::string& what)
{
    throw Error { ErrorKind::malformedFrame, what, "check that both processes run the same version of lycheespool" };
}

bool isEnvelope(const msgpack::object& object)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size != 4)
        return false;
    const auto* fields = object.via.array.ptr;
    return fields[0].type == msgpack::type::POSITIVE_INTEGER && fields[1].type == msgpack::type::POSITIVE_INTEGER
        && fields[2].type == msgpack::type::POSITIVE_INTEGER && fields[3].type == msgpack::type::ARRAY;
}

msgpack::object_handle unpack(std::string_view bytes)
{
    const msgpack::unpack_limit limit { maxElements, maxElements, maxFrameBytes, maxFrameBytes, 0, maxDepth };
    std::size_t offset = 0;
    try {
        auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size())
            throwMalformed("bytes after the end of the message");
        return handle;
    } catch (const msgpack::unpack_error& error) {
        throwMalformed(error.what());
    }
}

}

Envelope decodeFrame(std::string_view bytes)
{
    auto handle = unpack(bytes);
    const auto& object = handle.get();
    if (!isEnvelope(object))
        throwMalformed("frame is not [version, type, correlation, body]");
    const auto* fields = object.via.array.ptr;
    if (fields[0].via.u64 != protocolVersion)
        throwMalformed(fmt::format("protocol version {} is not {}", fields[0].via.u64, protocolVersion));
    Envelope envelope;
    envelope.type = static_cast<MessageType>(fields[1].as<std::uint8_t>());
    envelope.correlation = fields[2].via.u64;
    envelope.body = msgpack::object_handle { fields[3], std::move(handle.zone()) };
    return envelope;
}

std::size_t decodeFrameSize(std::string_view header)
{
    const auto size = boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(header.data()));
    if (size == 0 || size > maxFrameBytes)
        throwMalformed(fmt::format("frame of {} bytes, allowed are 1 to {}", size, maxFrameBytes));
    return size;
}

namespace detail {

Frame beginFrame()
{
    Frame frame;
    frame.bytes.reserve(256);
    frame.bytes.resize(frameHeaderBytes);
    return frame;
}

void finishFrame(Frame& frame)
{
    const auto size = frame.bytes.size() - frameHeaderBytes;
    if (size > maxFrameBytes)
        throwMalformed(fmt::format("message of {} bytes, allowed are {}", size, maxFrameBytes));
    boost::endian::store_big_u32(
        reinterpret_cast<unsigned char*>(frame.bytes.data()), static_cast<std::uint32_t>(size));
}

void throwBodyMismatch(MessageType type)
{
    throwMalformed(fmt::format("body does not fit message type {}", static_cast<unsigned>(type)));
}

}

}
