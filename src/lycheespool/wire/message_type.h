#pragma once

namespace lycheespool {

/*! @brief Type of a message; a reply has the number of its request plus one. */
enum class MessageType : unsigned char {
    hello = 2,
    helloReply = 3,
    heartbeat = 4,
    heartbeatReply = 5,
    execute = 6,
    executeReply = 7,
    order = 8,
    orderReply = 9,
    goodbye = 10,
    goodbyeReply = 11,
    inquire = 12,
    inquireReply = 13,
    nodeReport = 14,
    nodeReportReply = 15,
    nodeOrders = 16,
    nodeOrdersReply = 17,
    clientCall = 18,
    clientCallReply = 19,
    leaseInquiry = 20,
    leaseInquiryReply = 21,
};

/**
 * @brief Checks if a message type is a reply.
 * @param type Type of a message.
 * @return True when the message answers a call of the receiver.
 */
[[nodiscard]] constexpr bool isReply(MessageType type) { return (static_cast<unsigned>(type) & 1U) != 0; }

}
