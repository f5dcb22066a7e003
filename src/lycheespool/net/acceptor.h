#pragma once

#include "lycheespool/net/address.h"
#include "lycheespool/net/asio.h"

namespace lycheespool {

/**
 * @brief Binds a listening socket.
 * @param acceptor Acceptor to open.
 * @param address Address to listen on; port 0 picks a free one.
 * @throws Error of kind invalidSetting when the address cannot be bound.
 */
void listenOn(asio::ip::tcp::acceptor& acceptor, const Address& address);

/**
 * @brief Returns the bound address.
 * @param acceptor Listening acceptor.
 * @return Address with the real port.
 */
[[nodiscard]] Address boundAddress(const asio::ip::tcp::acceptor& acceptor);

}
