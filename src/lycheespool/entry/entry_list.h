#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief RPC addresses of all entries, with a digest that shows whether an agent's list is current. */
struct EntryList {
    std::vector<std::string> addresses;
    std::uint64_t digest { 0 };

    /**
     * @brief Creates a list.
     * @param addresses Addresses as text, in any order.
     * @return The list with its digest, which is never 0.
     */
    [[nodiscard]] static EntryList of(std::vector<std::string> addresses);
};

}
