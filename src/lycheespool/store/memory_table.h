#pragma once

#include "lycheespool/store/row.h"
#include "lycheespool/store/transaction.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace lycheespool {

/*! @brief Transactional table in memory; safe to use from several threads. */
class MemoryTable {
public:
    /**
     * @brief Reads a row.
     * @param key Key of the row.
     * @return The row, with version 0 when it does not exist.
     */
    [[nodiscard]] Row get(const std::string& key) const;

    /**
     * @brief Reads all rows with a prefix.
     * @param prefix Start of the keys.
     * @return Rows in the order of their keys.
     */
    [[nodiscard]] Rows list(std::string_view prefix) const;

    /**
     * @brief Applies a transaction.
     * @param transaction Conditions and writes.
     * @return Committed with the new version, or the conditions that did not hold.
     */
    CommitResult commit(const Transaction& transaction);

private:
    struct Entry {
        std::string value;
        std::uint64_t version;
    };

    [[nodiscard]] std::uint64_t versionOf(const std::string& key) const;

    mutable std::mutex m_mutex;
    std::map<std::string, Entry, std::less<>> m_rows;
    std::uint64_t m_lastVersion { 0 };
};

}
