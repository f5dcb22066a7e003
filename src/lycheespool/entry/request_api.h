#pragma once

#include "lycheespool/net/http_message.h"
#include "lycheespool/request/client_answer.h"
#include "lycheespool/request/client_request.h"

#include <string>

namespace lycheespool {

/**
 * @brief Reads a client's request from HTTP.
 * @param request HTTP request with `Idempotency-Key` and the parameters `idempotent`, `priority` and `timeout_ms`.
 * @param workspace Workspace from the path.
 * @return The request.
 * @throws Error of kind invalidArgument that names the parameter.
 */
[[nodiscard]] ClientRequest readClientRequest(HttpRequest&& request, const std::string& workspace);

/**
 * @brief Converts the answer to a client's request to an HTTP response.
 * @param answer The answer.
 * @return Response with the header `Lycheespool-Outcome`, and `Retry-After` when the answer has a retry delay.
 */
[[nodiscard]] HttpResponse writeClientAnswer(ClientAnswer&& answer);

}
