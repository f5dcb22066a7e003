#include "lycheespool/emulator/worker_service.h"

#include "lycheespool/core/error.h"
#include "lycheespool/emulator/worker_client.h"

#include <doctest/doctest.h>

#include <future>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

template <typename Result>
Result wait(IoPool& pool, Awaitable<Result> operation)
{
    return asio::co_spawn(pool.context(), std::move(operation), asio::use_future).get();
}

template <typename Operation>
ErrorKind kindOf(IoPool& pool, Operation operation)
{
    try {
        wait(pool, std::move(operation));
    } catch (const Error& error) {
        return error.kind();
    }
    return ErrorKind::internal;
}

}

// Guards against a field that is lost between the agent's client and the worker's interface.
TEST_CASE("a worker is driven over HTTP")
{
    IoPool pool { 1 };
    Metrics metrics;
    WorkerService service { pool, { "127.0.0.1", 0 }, { 60, 128000, 8 }, metrics };
    service.start();
    WorkerClient client { service.address() };
    const TaskKey key { JobId { "j.1" }, Attempt { 3 }, 2 };
    const TaskStart start { key, { 4, 1000, 8 }, 1h, 30s, 5s };
    wait(pool, client.start(start));
    wait(pool, client.renew(40s));
    wait(pool, client.throttle(key, 50));
    CHECK(wait(pool, client.checkpoint(key)) >= 5s);
    const auto tasks = wait(pool, client.list());
    REQUIRE(tasks.size() == 1);
    CHECK(tasks[0].key == key);
    CHECK(tasks[0].size == start.size);
    CHECK(tasks[0].speedPercent == 50);
    CHECK(tasks[0].checkpoint >= 5s);
    auto second = start;
    second.key.task = 3;
    CHECK((kindOf(pool, client.start(second)) == ErrorKind::overloaded));
    CHECK((kindOf(pool, client.checkpoint(second.key)) == ErrorKind::notFound));
    wait(pool, client.stop(key));
    CHECK(wait(pool, client.list()).empty());
    pool.stop();
}

// Guards against a path or body that a careless client sends and that stops the worker.
TEST_CASE("a malformed request gets a clear refusal")
{
    IoPool pool { 1 };
    Metrics metrics;
    WorkerService service { pool, { "127.0.0.1", 0 }, { 60, 128000, 8 }, metrics };
    service.start();
    HttpClient client { service.address() };
    const auto status = [&](const char* method, const char* path, const char* body) {
        HttpRequest request;
        request.method = method;
        request.path = path;
        request.body = body;
        return wait(pool, client.send(request, 5s)).status;
    };
    CHECK(status("PUT", "/v1/tasks/j/1/0", "{}") == 400);
    CHECK(status("PUT", "/v1/tasks/j/x/0", "{}") == 404);
    CHECK(status("PUT", "/v1/tasks/j/1", "{}") == 404);
    CHECK(status("POST", "/v1/leases", "[") == 400);
    CHECK(status("POST", "/v1/faults", R"({"failTasks":true})") == 200);
    CHECK(status("GET", "/v1/tasks", "") == 200);
    pool.stop();
}
