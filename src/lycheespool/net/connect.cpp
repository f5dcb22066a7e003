#include "lycheespool/net/connect.h"

#include <boost/beast/core/tcp_stream.hpp>

namespace lycheespool {

Awaitable<std::optional<asio::ip::tcp::socket>> connectTo(Address address, Duration timeout)
{
    boost::system::error_code ec;
    co_return co_await connectTo(std::move(address), timeout, ec);
}

Awaitable<std::optional<asio::ip::tcp::socket>> connectTo(
    Address address, Duration timeout, boost::system::error_code& ec)
{
    const auto executor = co_await asio::this_coro::executor;
    boost::beast::tcp_stream stream { executor };
    stream.expires_after(timeout);
    const auto endpoint = address.endpoint();
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
        co_return std::nullopt;
    stream.expires_never();
    co_return stream.release_socket();
}

}
