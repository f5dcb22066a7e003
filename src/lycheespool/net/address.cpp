#include "lycheespool/net/address.h"

#include "lycheespool/core/error.h"

#include <fmt/format.h>

#include <charconv>

namespace lycheespool {

asio::ip::tcp::endpoint Address::endpoint() const { return { asio::ip::make_address(host), port }; }

std::string Address::toString() const { return fmt::format("{}:{}", host, port); }

Address parseAddress(std::string_view text)
{
    const auto fail = [&] {
        return Error { ErrorKind::invalidSetting, fmt::format("'{}' is not an address", text),
            "write an IPv4 number and a port, as in 127.0.0.1:8080" };
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        throw fail();
    const auto host = text.substr(0, colon);
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (status != std::errc {} || end != digits.data() + digits.size())
        throw fail();
    boost::system::error_code ec;
    asio::ip::make_address_v4(std::string { host }, ec);
    if (ec)
        throw fail();
    return { std::string { host }, port };
}

}
