#pragma once

#include "lycheespool/wire/message_type.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace lycheespool {

/*! @brief Version of the messages between the processes of the system. */
inline constexpr std::uint8_t protocolVersion = 1;
/*! @brief Largest frame body in bytes; larger frames are refused before they are read. */
inline constexpr std::size_t maxFrameBytes = std::size_t { 1 } << 20U;
/*! @brief Size of the length in front of each frame, in bytes. */
inline constexpr std::size_t frameHeaderBytes = 4;

/*! @brief An encoded frame, header included, ready to be sent. */
struct Frame {
    std::string bytes;
};

/*! @brief A decoded frame whose body is still in msgpack form. */
struct Envelope {
    MessageType type {};
    std::uint64_t correlation { 0 };
    msgpack::object_handle body;

    /**
     * @brief Converts the body.
     * @tparam Message Type of the message; its `type` must match the envelope.
     * @return The message.
     * @throws Error of kind malformedFrame when the body has another type.
     */
    template <typename Message>
    [[nodiscard]] Message as() const;
};

/**
 * @brief Decodes the body of a frame.
 * @param bytes Frame body without the header.
 * @return The envelope.
 * @throws Error of kind malformedFrame.
 */
[[nodiscard]] Envelope decodeFrame(std::string_view bytes);

/**
 * @brief Reads the length in front of a frame.
 * @param header First frameHeaderBytes bytes of the frame.
 * @return Size of the frame body in bytes.
 * @throws Error of kind malformedFrame when the size is zero or above maxFrameBytes.
 */
[[nodiscard]] std::size_t decodeFrameSize(std::string_view header);

namespace detail {
Frame beginFrame();
void finishFrame(Frame& frame);
[[noreturn]] void throwBodyMismatch(MessageType type);

struct StringStream {
    std::string& bytes;
    void write(const char* data, std::size_t size) { bytes.append(data, size); }
};
}

/**
 * @brief Encodes a message.
 * @tparam Message One of the message types.
 * @param message The message.
 * @param correlation Number that the sender of a call chose; a reply repeats it.
 * @return The frame.
 * @throws Error of kind malformedFrame when the frame exceeds maxFrameBytes.
 */
template <typename Message>
[[nodiscard]] Frame encodeFrame(const Message& message, std::uint64_t correlation)
{
    auto frame = detail::beginFrame();
    detail::StringStream stream { frame.bytes };
    msgpack::packer<detail::StringStream> packer { stream };
    packer.pack_array(4);
    packer.pack(protocolVersion);
    packer.pack(static_cast<std::uint8_t>(Message::type));
    packer.pack(correlation);
    packer.pack(message);
    detail::finishFrame(frame);
    return frame;
}

template <typename Message>
Message Envelope::as() const
{
    if (type != Message::type)
        detail::throwBodyMismatch(type);
    try {
        return body.get().as<Message>();
    } catch (const msgpack::type_error&) {
        detail::throwBodyMismatch(type);
    }
}

}
