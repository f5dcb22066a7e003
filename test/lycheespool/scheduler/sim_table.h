#pragma once

#include "lycheespool/core/error.h"
#include "lycheespool/store/emulated_table.h"

#include <string>
#include <utility>

namespace lycheespool {

/*! @brief Emulated table that can fail the next reads of single rows; a model of Table. */
struct SimTable {
    EmulatedTable table;
    unsigned failReads { 0 };

    [[nodiscard]] Awaitable<Row> get(std::string key)
    {
        if (failReads > 0) {
            --failReads;
            throw Error { ErrorKind::unavailable, "the read failed", "retry later" };
        }
        return table.get(std::move(key));
    }

    [[nodiscard]] Awaitable<Rows> list(std::string prefix) { return table.list(std::move(prefix)); }

    [[nodiscard]] Awaitable<CommitResult> commit(Transaction transaction)
    {
        return table.commit(std::move(transaction));
    }
};

}
