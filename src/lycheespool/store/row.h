#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief One row of the table; a version of 0 means that the row does not exist. */
struct Row {
    std::string key;
    std::string value;
    std::uint64_t version { 0 };

    /**
     * @brief Checks if the row existed when it was read.
     * @return False when the row does not exist.
     */
    [[nodiscard]] bool exists() const { return version != 0; }
};

/*! @brief Rows in the order of their keys. */
using Rows = std::vector<Row>;

}
