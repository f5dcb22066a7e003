#include "lycheespool/controller/rpc_holder_probe.h"

#include "lycheespool/net/rpc_server.h"
#include "lycheespool/wire/lease_messages.h"

#include <doctest/doctest.h>

#include <future>

using namespace lycheespool;

namespace {

HolderState ask(IoPool& pool, Metrics& metrics, const Address& address)
{
    RpcHolderProbe probe { metrics };
    const LeaseRow row { "a", 7, address.toString(), 3 };
    return asio::co_spawn(pool.context(), probe.ask(row), asio::use_future).get();
}

/*! @brief Asks a holder that answers with the given reply, or does not answer. */
HolderState askHolder(std::optional<LeaseInquiryReply> reply)
{
    Metrics metrics;
    IoPool pool { 1 };
    RpcServer server { pool, { "127.0.0.1", 0 }, metrics,
        [&](const auto& source, Envelope envelope) {
            const auto inquiry = envelope.as<LeaseInquiry>();
            CHECK(inquiry.incarnation == 7);
            CHECK(inquiry.epoch == 3);
            if (reply)
                source->send(*reply, envelope.correlation);
        },
        [](const auto&) {} };
    server.start();
    const auto state = ask(pool, metrics, server.address());
    server.stop();
    return state;
}

}

TEST_CASE("the probe reports whether the holder leads, and another process at its address means that it has ended")
{
    CHECK(askHolder(LeaseInquiryReply { 7, true }) == HolderState::leads);
    CHECK(askHolder(LeaseInquiryReply { 7, false }) == HolderState::yielded);
    CHECK(askHolder(LeaseInquiryReply { 8, false }) == HolderState::gone);
    CHECK(askHolder(std::nullopt) == HolderState::silent);
}

TEST_CASE("a refused connection means that the holder has ended")
{
    Metrics metrics;
    IoPool pool { 1 };
    std::optional<Address> address;
    {
        RpcServer server { pool, { "127.0.0.1", 0 }, metrics, [](const auto&, Envelope) {}, [](const auto&) {} };
        address = server.address();
    }
    CHECK(ask(pool, metrics, *address) == HolderState::gone);
}
