#include "lycheespool/cli/operator_client.h"

#include "lycheespool/core/error.h"
#include "lycheespool/net/http_client.h"

namespace lycheespool {

namespace {

constexpr Duration callTimeout = std::chrono::seconds { 10 };

}

OperatorClient::OperatorClient(std::vector<Address> entries)
    : m_entries { std::move(entries) }
{
}

HttpResponse OperatorClient::send(const HttpRequest& request)
{
    for (const auto& it : m_entries) {
        HttpClient client { it };
        auto answer = asio::co_spawn(m_pool.context(), client.send(request, callTimeout), asio::use_future);
        try {
            return answer.get();
        } catch (const Error& error) {
            if (error.kind() != ErrorKind::unavailable)
                throw;
        }
    }
    throw Error { ErrorKind::unavailable, "no entry is reachable", "check --entries and that an entry is running" };
}

}
