#include "lycheespool/controller/rpc_holder_probe.h"

#include "lycheespool/core/error.h"
#include "lycheespool/core/event_log.h"
#include "lycheespool/net/address.h"
#include "lycheespool/net/connect.h"
#include "lycheespool/net/rpc_connection.h"
#include "lycheespool/wire/lease_messages.h"

#include <nlohmann/json.hpp>

#include <memory>

namespace lycheespool {

Awaitable<HolderState> RpcHolderProbe::ask(LeaseRow row)
{
    m_inquiries.add();
    boost::system::error_code ec;
    auto address = parseAddress(row.address);
    auto socket = co_await connectTo(std::move(address), timeout, ec);
    if (!socket)
        co_return ec == asio::error::connection_refused ? HolderState::gone : HolderState::silent;
    const auto executor = co_await asio::this_coro::executor;
    const auto connection = std::make_shared<RpcConnection>(std::move(*socket), m_metrics);
    asio::co_spawn(
        executor,
        [connection]() -> Awaitable<> {
            RpcConnection::Handler ignore = [](const auto&, Envelope) {};
            co_await connection->run(std::move(ignore));
        },
        asio::detached);
    auto state = HolderState::silent;
    const LeaseInquiry inquiry { row.incarnation, row.epoch };
    try {
        const auto reply = co_await connection->call<LeaseInquiryReply>(inquiry, timeout);
        // Another process at the address means that the holder's process has ended.
        if (reply.incarnation != row.incarnation)
            state = HolderState::gone;
        else
            state = reply.leads ? HolderState::leads : HolderState::yielded;
    } catch (const Error& error) {
        logEvent("lease_inquiry_unanswered",
            { { "holder", row.holder }, { "epoch", row.epoch }, { "reason", error.what() } });
    }
    connection->close();
    co_return state;
}

}
