#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/net/address.h"
#include "lycheespool/net/asio.h"

#include <optional>

namespace lycheespool {

/**
 * @brief Connects to an address within a time.
 * @param address The address.
 * @param timeout Longest time to wait; without a bound, a silent peer holds the caller for minutes.
 * @return The connected socket, or nothing when there is no connection.
 */
[[nodiscard]] Awaitable<std::optional<asio::ip::tcp::socket>> connectTo(Address address, Duration timeout);

/**
 * @brief Connects to an address within a time, and reports why a connection failed.
 * @param address The address.
 * @param timeout Longest time to wait.
 * @param ec Receives the error; must outlive the operation.
 * @return The connected socket, or nothing when there is no connection.
 */
[[nodiscard]] Awaitable<std::optional<asio::ip::tcp::socket>> connectTo(
    Address address, Duration timeout, boost::system::error_code& ec);

}
