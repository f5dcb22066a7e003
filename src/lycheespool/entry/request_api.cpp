#include "lycheespool/entry/request_api.h"

#include "lycheespool/core/error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace lycheespool {

namespace {

constexpr std::size_t maxNameBytes = 200;
constexpr std::uint64_t maxTimeoutMs = 600'000;

Error invalid(const std::string& what, std::string remedy)
{
    return { ErrorKind::invalidArgument, what, std::move(remedy) };
}

bool isName(std::string_view text)
{
    const auto allowed
        = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == ':'; };
    return !text.empty() && text.size() <= maxNameBytes && std::ranges::all_of(text, allowed);
}

bool readIdempotent(const HttpRequest& request)
{
    const auto text = request.parameter("idempotent", "false");
    if (text != "true" && text != "false")
        throw invalid("parameter idempotent is neither true nor false", "use idempotent=true or idempotent=false");
    return text == "true";
}

RequestPriority readPriority(const HttpRequest& request)
{
    const auto text = request.parameter("priority", "normal");
    if (text == "low")
        return RequestPriority::low;
    if (text == "normal")
        return RequestPriority::normal;
    if (text == "high")
        return RequestPriority::high;
    throw invalid("unknown priority", "use priority=low, priority=normal or priority=high");
}

Duration readTimeout(const HttpRequest& request)
{
    const auto text = request.parameter("timeout_ms", "10000");
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc {} || end != text.data() + text.size() || value == 0 || value > maxTimeoutMs)
        throw invalid("parameter timeout_ms is out of range", "use an integer from 1 to 600000");
    return std::chrono::milliseconds { value };
}

std::string_view nameOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::done:
        return "done";
    case Outcome::notRun:
        return "not-run";
    case Outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

HttpResponse writeProblem(const ClientAnswer& answer)
{
    HttpResponse response;
    const unsigned fallback = answer.outcome == Outcome::notRun ? 503 : 504;
    response.status = answer.status >= 400 ? answer.status : fallback;
    response.contentType = "application/problem+json";
    const auto* remedy = answer.outcome == Outcome::notRun
        ? "the request did not run; send it again after the time in Retry-After"
        : "query the outcome by sending the same request with the same Idempotency-Key";
    const nlohmann::json problem {
        { "type", "about:blank" },
        { "title", std::string { nameOf(answer.outcome) } },
        { "status", response.status },
        { "detail", answer.reason },
        { "remedy", remedy },
    };
    response.body = problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

}

ClientRequest readClientRequest(HttpRequest&& request, const std::string& workspace)
{
    ClientRequest client;
    if (!isName(workspace))
        throw invalid("workspace name is not valid", "use letters, digits, '-', '_', '.' and ':'");
    client.workspace = WorkspaceId { workspace };
    client.idempotent = readIdempotent(request);
    const auto key = request.field("Idempotency-Key");
    if (!key.empty() && !isName(key))
        throw invalid("Idempotency-Key is not valid", "use up to 200 letters, digits, '-', '_', '.' and ':'");
    if (key.empty() && !client.idempotent)
        throw invalid("a request that is not idempotent needs a key",
            "send the header Idempotency-Key, or idempotent=true if the request may run twice");
    client.key = RequestKey { std::string { key } };
    client.priority = readPriority(request);
    client.timeout = readTimeout(request);
    client.body = std::move(request.body);
    return client;
}

HttpResponse writeClientAnswer(ClientAnswer&& answer)
{
    HttpResponse response;
    if (answer.outcome == Outcome::done) {
        response.status = answer.status;
        response.contentType = "application/octet-stream";
        response.body = std::move(answer.body);
    } else {
        response = writeProblem(answer);
    }
    response.fields.emplace_back("Lycheespool-Outcome", std::string { nameOf(answer.outcome) });
    if (answer.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*answer.retryAfter).count();
        response.fields.emplace_back("Retry-After", std::to_string(std::max<std::int64_t>(seconds, 1)));
    }
    return response;
}

}
