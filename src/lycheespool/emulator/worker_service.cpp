#include "lycheespool/emulator/worker_service.h"

#include "lycheespool/core/error.h"
#include "lycheespool/emulator/worker_codec.h"
#include "lycheespool/net/sleep.h"

#include <charconv>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace lycheespool {

namespace {

// A frozen worker holds a request longer than any client waits, as a machine that hangs would.
constexpr Duration longestHold = std::chrono::seconds { 10 };
constexpr Duration holdStep = std::chrono::milliseconds { 20 };

std::vector<std::string_view> splitPath(std::string_view path)
{
    std::vector<std::string_view> parts;
    while (!path.empty()) {
        path.remove_prefix(1);
        const auto end = std::min(path.find('/'), path.size());
        parts.push_back(path.substr(0, end));
        path.remove_prefix(end);
    }
    return parts;
}

Error unknownPath()
{
    return { ErrorKind::notFound, "no such resource", "see the worker's interface in docs/jobs.md" };
}

template <typename Number>
Number parseNumber(std::string_view text)
{
    Number number {};
    const auto* const end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, number);
    if (ec != std::errc {} || rest != end)
        throw unknownPath();
    return number;
}

TaskKey parseKey(const std::vector<std::string_view>& parts)
{
    return { JobId { std::string { parts[2] } }, Attempt { parseNumber<std::uint64_t>(parts[3]) },
        parseNumber<std::uint32_t>(parts[4]) };
}

HttpResponse respond(std::string body)
{
    HttpResponse response;
    response.body = std::move(body);
    return response;
}

}

struct WorkerService::State {
    explicit State(const Resources& capacity)
        : model { capacity }
    {
    }

    HttpResponse answer(const HttpRequest& request);
    HttpResponse answerTask(const HttpRequest& request, const std::vector<std::string_view>& parts);
    bool isFrozen();

    std::mutex mutex;
    WorkerModel model;
    std::uint64_t started { 0 };
};

bool WorkerService::State::isFrozen()
{
    const std::scoped_lock lock { mutex };
    return model.faults().frozen;
}

HttpResponse WorkerService::State::answer(const HttpRequest& request)
{
    const auto parts = splitPath(request.path);
    const std::scoped_lock lock { mutex };
    const auto now = SteadyClock {}.now();
    if (request.method == "GET" && request.path == "/v1/tasks")
        return respond(WorkerCodec::encode(model.list(now)));
    if (request.method == "GET" && request.path == "/v1/executions")
        return respond(R"({"total":)" + std::to_string(started) + "}");
    if (request.method == "POST" && request.path == "/v1/leases") {
        const auto ms = WorkerCodec::decodeNumber(request.body, "leaseMs");
        model.renew(std::chrono::milliseconds { std::min<std::uint64_t>(ms, 3'600'000) }, now);
        return respond("{}");
    }
    if (request.method == "POST" && request.path == "/v1/faults") {
        model.setFaults(WorkerCodec::decodeFaults(request.body), now);
        return respond("{}");
    }
    if (parts.size() >= 5 && parts[0] == "v1" && parts[1] == "tasks")
        return answerTask(request, parts);
    throw unknownPath();
}

HttpResponse WorkerService::State::answerTask(const HttpRequest& request, const std::vector<std::string_view>& parts)
{
    const auto now = SteadyClock {}.now();
    const auto key = parseKey(parts);
    const auto action = parts.size() == 6 ? parts[5] : std::string_view {};
    if (request.method == "PUT" && parts.size() == 5) {
        model.start(WorkerCodec::decodeStart(key, request.body), now);
        ++started;
        return respond("{}");
    }
    if (request.method == "DELETE" && parts.size() == 5) {
        model.stop(key, now);
        return respond("{}");
    }
    if (request.method == "POST" && action == "checkpoint") {
        const auto saved = std::chrono::duration_cast<std::chrono::milliseconds>(model.checkpoint(key, now));
        return respond(R"({"progressMs":)" + std::to_string(saved.count()) + "}");
    }
    if (request.method == "POST" && action == "throttle") {
        const auto percent = WorkerCodec::decodeNumber(request.body, "speedPercent");
        model.throttle(key, static_cast<std::uint32_t>(std::min<std::uint64_t>(percent, 1000)), now);
        return respond("{}");
    }
    throw unknownPath();
}

WorkerService::WorkerService(IoPool& pool, const Address& address, const Resources& capacity, Metrics& metrics)
    : m_state { std::make_shared<State>(capacity) }
    , m_server { pool, address, metrics, [state = m_state](HttpRequest request) -> Awaitable<HttpResponse> {
                    const bool switchesFaults = request.path == "/v1/faults";
                    for (Duration held {}; !switchesFaults && state->isFrozen(); held += holdStep) {
                        if (held >= longestHold)
                            throw Error { ErrorKind::unavailable, "the worker is frozen", "retry later" };
                        co_await sleepFor(holdStep);
                    }
                    co_return state->answer(request);
                } }
{
}

WorkerService::~WorkerService() = default;

Address WorkerService::address() const { return m_server.address(); }

void WorkerService::start() { m_server.start(); }

Awaitable<bool> WorkerService::drain(Duration timeout) { return m_server.drain(timeout); }

}
