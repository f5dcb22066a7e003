#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Requires a row to have a version; 0 requires that it does not exist. */
struct Condition {
    std::string key;
    std::uint64_t version { 0 };
};

/*! @brief Replaces a row, or deletes it when there is no value. */
struct Write {
    std::string key;
    std::optional<std::string> value;
};

/*! @brief Writes that happen all or not at all, if every condition holds. */
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

/*! @brief Outcome of a transaction. */
struct CommitResult {
    /*! @brief True when the writes took effect. */
    bool committed { false };
    /*! @brief Version of all written rows when committed. */
    std::uint64_t version { 0 };
    /*! @brief Keys of the conditions that did not hold when not committed. */
    std::vector<std::string> conflicts;
};

}
