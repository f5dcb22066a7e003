#include "lycheespool/emulator/worker_client.h"

#include "lycheespool/core/error.h"
#include "lycheespool/emulator/worker_codec.h"

#include <fmt/format.h>

namespace lycheespool {

namespace {

std::string pathOf(const TaskKey& key)
{
    return fmt::format("/v1/tasks/{}/{}/{}", key.job.value(), key.attempt.value(), key.task);
}

HttpRequest makeRequest(std::string method, std::string path, std::string body)
{
    HttpRequest request;
    request.method = std::move(method);
    request.path = std::move(path);
    request.body = std::move(body);
    return request;
}

ErrorKind kindOf(unsigned status)
{
    switch (status) {
    case 400:
        return ErrorKind::invalidArgument;
    case 404:
        return ErrorKind::notFound;
    case 409:
        return ErrorKind::conflict;
    case 429:
        return ErrorKind::overloaded;
    default:
        return ErrorKind::unavailable;
    }
}

std::string detailOf(const HttpResponse& response)
{
    const auto problem = nlohmann::json::parse(response.body, nullptr, false);
    if (problem.is_object() && problem.contains("detail") && problem["detail"].is_string())
        return problem["detail"].get<std::string>();
    return fmt::format("the worker answered with status {}", response.status);
}

}

Awaitable<std::string> WorkerClient::send(HttpRequest request)
{
    auto response = co_await m_client.send(std::move(request), timeout);
    if (response.status != 200)
        throw Error { kindOf(response.status), detailOf(response), "check the worker" };
    co_return std::move(response.body);
}

Awaitable<> WorkerClient::start(TaskStart start)
{
    auto path = pathOf(start.key);
    auto body = WorkerCodec::encode(start);
    auto request = makeRequest("PUT", std::move(path), std::move(body));
    co_await send(std::move(request));
}

Awaitable<> WorkerClient::renew(Duration lease)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(lease).count();
    auto body = fmt::format(R"({{"leaseMs":{}}})", ms);
    auto request = makeRequest("POST", "/v1/leases", std::move(body));
    co_await send(std::move(request));
}

Awaitable<Duration> WorkerClient::checkpoint(TaskKey key)
{
    auto path = pathOf(key) + "/checkpoint";
    auto request = makeRequest("POST", std::move(path), {});
    const auto body = co_await send(std::move(request));
    co_return std::chrono::milliseconds { WorkerCodec::decodeNumber(body, "progressMs") };
}

Awaitable<> WorkerClient::throttle(TaskKey key, std::uint32_t speedPercent)
{
    auto path = pathOf(key) + "/throttle";
    auto body = fmt::format(R"({{"speedPercent":{}}})", speedPercent);
    auto request = makeRequest("POST", std::move(path), std::move(body));
    co_await send(std::move(request));
}

Awaitable<> WorkerClient::stop(TaskKey key)
{
    auto path = pathOf(key);
    auto request = makeRequest("DELETE", std::move(path), {});
    co_await send(std::move(request));
}

Awaitable<TaskStatuses> WorkerClient::list()
{
    auto request = makeRequest("GET", "/v1/tasks", {});
    const auto body = co_await send(std::move(request));
    co_return WorkerCodec::decodeTasks(body);
}

}
