// Measures the encoded size of each message and the cost of encoding and decoding it.

#include "measure.h"

#include "lycheespool/core/error.h"
#include "lycheespool/wire/frame.h"
#include "lycheespool/wire/messages.h"

#include <cstdint>
#include <string>

namespace {

using namespace lycheespool;

constexpr std::size_t repeats = 5;
constexpr std::size_t calls = 5000;
constexpr std::uint64_t largeNumber = std::uint64_t { 1 } << 62U;

volatile std::size_t sink = 0;

template <typename Message>
double measure(const std::string& setting, const std::string& name, const Message& message)
{
    const auto frame = encodeFrame(message, 100000);
    const auto size = static_cast<double>(frame.bytes.size());
    bench::printFigure(setting, name + "_bytes", { size, size, size }, "bytes");
    const auto encode = bench::timeOf(repeats, calls, [&] { sink = encodeFrame(message, 100000).bytes.size(); });
    bench::printFigure(setting, name + "_encode", encode, "ns");
    const auto body = std::string_view { frame.bytes }.substr(frameHeaderBytes);
    const auto decode = bench::timeOf(repeats, calls, [&] {
        const auto envelope = decodeFrame(body);
        const auto decoded = envelope.as<Message>();
        sink = sizeof(decoded);
    });
    bench::printFigure(setting, name + "_decode", decode, "ns");
    return size;
}

std::vector<std::string> entryList(std::size_t count) { return std::vector<std::string>(count, "10.100.100.100:8081"); }

Hello makeHello()
{
    Hello hello;
    hello.agent = AgentId { "worker-region-1-zone-a-rack-1000-1" };
    hello.incarnation = Incarnation { largeNumber };
    hello.kind = EndpointKind::worker;
    hello.zone = ZoneId { "region-1-zone-a" };
    hello.rack = RackId { "region-1-zone-a-rack-1000" };
    hello.cores = 60;
    hello.memoryMiB = 131072;
    hello.accelerators = 8;
    return hello;
}

Heartbeat makeHeartbeat(std::size_t tasks)
{
    Heartbeat heartbeat;
    heartbeat.incarnation = Incarnation { largeNumber };
    heartbeat.sequence = 100000;
    for (std::size_t i = 0; i < tasks; ++i) {
        TaskReport report;
        report.job = JobId { "job-0123456789abcdef" };
        report.attempt = Attempt { 1 };
        report.task = static_cast<std::uint32_t>(i);
        report.state = "running";
        heartbeat.tasks.push_back(std::move(report));
    }
    return heartbeat;
}

Order makeOrder(std::size_t tasks)
{
    Order order;
    order.epoch = Epoch { 1000 };
    order.incarnation = Incarnation { largeNumber };
    order.job = JobId { "job-0123456789abcdef" };
    order.attempt = Attempt { 1 };
    for (std::size_t i = 0; i < tasks; ++i)
        order.tasks.push_back(static_cast<std::uint32_t>(i));
    order.coresPerTask = 8;
    order.memoryMiBPerTask = 16384;
    order.acceleratorsPerTask = 1;
    order.runTimeMs = 36000000;
    order.revision = Revision { 1000000 };
    return order;
}

void measureByTasks()
{
    std::vector<bench::Point> heartbeats;
    std::vector<bench::Point> orders;
    for (const std::size_t tasks : { 0, 1, 8, 64 }) {
        const auto setting = fmt::format("tasks={}", tasks);
        const auto x = static_cast<double>(tasks);
        heartbeats.push_back({ x, measure(setting, "heartbeat", makeHeartbeat(tasks)) });
        orders.push_back({ x, measure(setting, "order", makeOrder(tasks)) });
    }
    bench::printFit("tasks=0..64", "heartbeat_bytes", heartbeats, "bytes", "task");
    bench::printFit("tasks=0..64", "order_bytes", orders, "bytes", "task");
}

void measureByEntries()
{
    std::vector<bench::Point> replies;
    for (const std::size_t entries : { 1, 3, 15, 64 }) {
        const auto setting = fmt::format("entries={}", entries);
        HeartbeatReply reply;
        reply.epoch = Epoch { 1000 };
        reply.freshness = { Revision { 1000000 }, 1000, {} };
        reply.entries = entryList(entries);
        replies.push_back({ static_cast<double>(entries), measure(setting, "heartbeat_reply", reply) });
        HelloReply greeting;
        greeting.entry = EntryId { "entry-region-1-zone-a-1" };
        greeting.entries = entryList(entries);
        (void)measure(setting, "hello_reply", greeting);
    }
    bench::printFit("entries=1..64", "heartbeat_reply_bytes", replies, "bytes", "entry");
}

void measureByBody()
{
    std::vector<bench::Point> requests;
    std::vector<bench::Point> replies;
    for (const std::size_t size : { 64, 1024, 16384 }) {
        const auto setting = fmt::format("body_bytes={}", size);
        const auto x = static_cast<double>(size);
        Execute request;
        request.request = 100000;
        request.incarnation = Incarnation { largeNumber };
        request.deadlineMs = 30000;
        request.body = std::string(size, 'x');
        requests.push_back({ x, measure(setting, "execute", request) });
        ExecuteReply reply;
        reply.request = 100000;
        reply.incarnation = Incarnation { largeNumber };
        reply.status = 200;
        reply.body = std::string(size, 'x');
        replies.push_back({ x, measure(setting, "execute_reply", reply) });
    }
    bench::printFit("body_bytes=64..16384", "execute_bytes", requests, "bytes", "body byte");
    bench::printFit("body_bytes=64..16384", "execute_reply_bytes", replies, "bytes", "body byte");
}

}

int main()
try {
    measureByTasks();
    measureByEntries();
    measureByBody();
    (void)measure("fixed", "hello", makeHello());
    OrderReply refused;
    refused.reason = "lease of an older epoch";
    (void)measure("fixed", "order_reply", refused);
    (void)measure("fixed", "goodbye", Goodbye { Incarnation { largeNumber } });
    (void)measure("fixed", "goodbye_reply", GoodbyeReply { true });
    return 0;
} catch (const std::exception& error) {
    fmt::print(stderr, "message_size: {}\n", error.what());
    return 1;
}
