#pragma once

#include "lycheespool/net/asio.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace lycheespool {

/*! @brief IP address and port. */
struct Address {
    std::string host;
    std::uint16_t port { 0 };

    friend auto operator<=>(const Address&, const Address&) = default;

    /**
     * @brief Returns the endpoint as an Asio type.
     * @return TCP endpoint.
     */
    [[nodiscard]] asio::ip::tcp::endpoint endpoint() const;

    /**
     * @brief Formats the address.
     * @return Text as in `127.0.0.1:8080`.
     */
    [[nodiscard]] std::string toString() const;
};

/**
 * @brief Reads an address.
 * @param text Text as in `127.0.0.1:8080`; IPv4 numbers only.
 * @return The address.
 * @throws Error of kind invalidSetting.
 */
[[nodiscard]] Address parseAddress(std::string_view text);

}
