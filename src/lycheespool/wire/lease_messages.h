#pragma once

#include "lycheespool/wire/message_type.h"

#include <cstdint>
#include <msgpack.hpp>

namespace lycheespool {

/*! @brief Question of a candidate to the holder of a leader lease whose row has not been renewed in time. */
struct LeaseInquiry {
    static constexpr auto type = MessageType::leaseInquiry;

    /*! @brief Process that the row names. */
    std::uint64_t incarnation { 0 };
    std::uint64_t epoch { 0 };
    MSGPACK_DEFINE(incarnation, epoch)
};

/*! @brief Answer to LeaseInquiry. */
struct LeaseInquiryReply {
    static constexpr auto type = MessageType::leaseInquiryReply;

    /*! @brief Process that answers. */
    std::uint64_t incarnation { 0 };
    /*! @brief The process still leads in the term that the inquiry names; otherwise it has stopped acting in that term.
     */
    bool leads { false };
    MSGPACK_DEFINE(incarnation, leads)
};

}
