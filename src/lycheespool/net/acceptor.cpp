#include "lycheespool/net/acceptor.h"

#include "lycheespool/core/error.h"

namespace lycheespool {

void listenOn(asio::ip::tcp::acceptor& acceptor, const Address& address)
{
    boost::system::error_code ec;
    const auto endpoint = address.endpoint();
    acceptor.open(endpoint.protocol(), ec);
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address { true }, ec);
    acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        throw Error { ErrorKind::invalidSetting, "cannot listen on " + address.toString() + ": " + ec.message(),
            "choose another address or stop the process that uses it" };
}

Address boundAddress(const asio::ip::tcp::acceptor& acceptor)
{
    const auto endpoint = acceptor.local_endpoint();
    return { endpoint.address().to_string(), endpoint.port() };
}

}
