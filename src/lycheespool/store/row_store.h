#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/net/asio.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Name of a row: table, partition and key. */
struct RowName {
    std::string table;
    std::string partition;
    std::string key;

    friend auto operator<=>(const RowName&, const RowName&) = default;
};

/*! @brief A row as the store gives it; a version of 0 means that it does not exist. */
struct StoredRow {
    RowName name;
    std::string value;
    std::uint64_t version { 0 };
    /*! @brief Set in changes: the row was removed. */
    bool isRemoved { false };
};

/*! @brief Requires a row to have a version; 0 requires that it does not exist. */
struct RowCondition {
    RowName name;
    std::uint64_t version { 0 };
};

/*! @brief Replaces a row, or removes it when there is no value. */
struct RowWrite {
    RowName name;
    std::optional<std::string> value;
};

/*! @brief Writes in one partition that happen all or not at all, if every condition holds. */
struct RowTransaction {
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
};

/*! @brief Most conditions and writes of one transaction. */
inline constexpr std::size_t maxTransactionEntries = 100;

/*! @brief Largest body of one transaction, bytes; the store takes 1 MB a call. */
inline constexpr std::size_t maxTransactionBytes = 1'000'000;

/*! @brief Outcome of a transaction. */
struct RowCommit {
    bool isCommitted { false };
    /*! @brief Version of the written rows when committed. */
    std::uint64_t version { 0 };
    /*! @brief The rows of the conditions as they are, when not committed. */
    std::vector<StoredRow> current;
};

/*! @brief Rows of one table and partition with from <= key < to; an empty `to` is unbounded. */
struct RowRange {
    std::string table;
    std::string partition;
    std::string from;
    std::string to;
};

/*! @brief Rows of a range at one moment. */
struct RowList {
    std::vector<StoredRow> rows;
    /*! @brief Newest version of the store at that moment. */
    std::uint64_t version { 0 };
};

/*! @brief Rows of one table that changed after a version. */
struct RowChanges {
    std::vector<StoredRow> rows;
    std::uint64_t version { 0 };
    /*! @brief The store has dropped the history: everything must be listed again. */
    bool isHistoryLost { false };
};

/**
 * @brief The platform's transactional row store.
 *
 * - `commit(transaction, timeout)` returns a RowCommit.
 * - `list(range, timeout)` returns all rows of a range.
 * - `changes(table, after, wait, timeout)` waits for changes of a table.
 * - `answeredAt()` is the time of the newest answer to any call, or of the start of the process.
 *
 * All throw Error: unavailable or overloaded if nothing was done, outcomeUnknown if the operation may take effect,
 * invalidArgument if the store will never accept the operation.
 */
template <typename Type>
concept RowStore = requires(
    Type& store, RowTransaction transaction, RowRange range, std::string text, std::uint64_t version, Duration time)
{
    {
        store.commit(transaction, time)
        } -> std::same_as<Awaitable<RowCommit>>;
    {
        store.list(range, time)
        } -> std::same_as<Awaitable<RowList>>;
    {
        store.changes(text, version, time, time)
        } -> std::same_as<Awaitable<RowChanges>>;
    {
        store.answeredAt()
        } -> std::same_as<TimePoint>;
};

}
