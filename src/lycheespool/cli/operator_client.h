#pragma once

#include "lycheespool/net/address.h"
#include "lycheespool/net/http_message.h"
#include "lycheespool/net/io_pool.h"

#include <vector>

namespace lycheespool {

/*! @brief Sends an operator's calls to the first reachable entry. */
class OperatorClient {
public:
    /**
     * @brief Creates a client.
     * @param entries HTTP addresses of entries, tried in turn.
     */
    explicit OperatorClient(std::vector<Address> entries);

    /**
     * @brief Sends a call; tries the next entry only while it is certain that no entry received the call.
     * @param request The call.
     * @return The response.
     * @throws Error of kind unavailable when no entry is reachable, outcomeUnknown when a response was lost.
     */
    [[nodiscard]] HttpResponse send(const HttpRequest& request);

private:
    std::vector<Address> m_entries;
    IoPool m_pool { 1 };
};

}
