#pragma once

#include "lycheespool/net/asio.h"
#include "lycheespool/store/row.h"
#include "lycheespool/store/transaction.h"

#include <concepts>
#include <string>

namespace lycheespool {

/**
 * @brief The platform's transactional table service, as the system uses it.
 *
 * - `get(key)` returns the row, with version 0 when it does not exist.
 * - `list(prefix)` returns the rows whose key starts with the prefix, in the order of the keys.
 * - `commit(transaction)` returns a CommitResult.
 *
 * All throw Error: unavailable when the operation certainly did not take effect, outcomeUnknown when it may have.
 */
template <typename Type>
concept Table = requires(Type& table, std::string key, Transaction transaction)
{
    {
        table.get(key)
        } -> std::same_as<Awaitable<Row>>;
    {
        table.list(key)
        } -> std::same_as<Awaitable<Rows>>;
    {
        table.commit(transaction)
        } -> std::same_as<Awaitable<CommitResult>>;
};

}
