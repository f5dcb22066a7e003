#include "lycheespool/entry/agent_directory.h"

#include "lycheespool/core/metrics.h"

#include <doctest/doctest.h>

using namespace lycheespool;

namespace {

struct Fixture {
    Metrics metrics;
    asio::io_context context;
    AgentDirectory directory;

    std::shared_ptr<RpcConnection> connect()
    {
        return std::make_shared<RpcConnection>(asio::ip::tcp::socket { context }, metrics);
    }

    static Hello helloOf(const std::string& agent, std::uint64_t incarnation)
    {
        Hello hello;
        hello.agent = AgentId { agent };
        hello.incarnation = Incarnation { incarnation };
        return hello;
    }
};

}

// Guards against an index by connection that becomes inconsistent with the agents.
TEST_CASE_FIXTURE(Fixture, "an agent that announces itself again is found by its new connection only")
{
    const auto first = connect();
    const auto second = connect();
    directory.add(helloOf("a", 1), first);
    directory.add(helloOf("a", 2), second);
    CHECK_FALSE(directory.find(first.get()));
    REQUIRE(directory.find(second.get()));
    CHECK(directory.find(second.get())->incarnation == Incarnation { 2 });
}

// Guards against the late close of an old connection that removes the agent of the new connection.
TEST_CASE_FIXTURE(Fixture, "closing an earlier connection does not remove the agent")
{
    const auto first = connect();
    const auto second = connect();
    directory.add(helloOf("a", 1), first);
    directory.add(helloOf("a", 1), second);
    CHECK_FALSE(directory.remove(first.get()));
    CHECK(directory.find(second.get()));
    CHECK(directory.remove(second.get()) == AgentId { "a" });
    CHECK_FALSE(directory.find(second.get()));
}

// Guards against heartbeats of one agent that are attributed to another agent.
TEST_CASE_FIXTURE(Fixture, "a repeated or changed announcement on one connection replaces the earlier one")
{
    const auto connection = connect();
    directory.add(helloOf("a", 1), connection);
    directory.add(helloOf("a", 2), connection);
    REQUIRE(directory.find(connection.get()));
    CHECK(directory.find(connection.get())->incarnation == Incarnation { 2 });
    directory.add(helloOf("b", 3), connection);
    CHECK(directory.find(connection.get())->agent == AgentId { "b" });
    CHECK(directory.remove(connection.get()) == AgentId { "b" });
    CHECK_FALSE(directory.remove(connection.get()));
}
