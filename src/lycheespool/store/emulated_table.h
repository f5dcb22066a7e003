#pragma once

#include "lycheespool/core/error.h"
#include "lycheespool/net/sleep.h"
#include "lycheespool/store/memory_table.h"
#include "lycheespool/store/table_faults.h"

#include <chrono>
#include <string>

namespace lycheespool {

/*! @brief Table in this process with the faults of the real service; a model of Table. */
class EmulatedTable {
public:
    /**
     * @brief Constructs a view of a table; several views may share one table with faults of their own.
     * @param rows The rows.
     * @param faults The faults.
     */
    EmulatedTable(MemoryTable& rows, TableFaults& faults)
        : m_rows { rows }
        , m_faults { faults }
    {
    }

    /*! @copydoc MemoryTable::get */
    [[nodiscard]] Awaitable<Row> get(std::string key)
    {
        co_await delayOrFail();
        co_return m_rows.get(key);
    }

    /*! @copydoc MemoryTable::list */
    [[nodiscard]] Awaitable<Rows> list(std::string prefix)
    {
        co_await delayOrFail();
        co_return m_rows.list(prefix);
    }

    /*! @copydoc MemoryTable::commit */
    [[nodiscard]] Awaitable<CommitResult> commit(Transaction transaction)
    {
        co_await delayOrFail();
        auto result = m_rows.commit(transaction);
        if (m_faults.takeLostAnswer())
            throw Error { ErrorKind::outcomeUnknown, "answer of the table was lost", "read the rows back" };
        co_return result;
    }

private:
    [[nodiscard]] Awaitable<> delayOrFail()
    {
        if (const auto delay = m_faults.delayMs.load(); delay > 0)
            co_await sleepFor(std::chrono::milliseconds { delay });
        if (m_faults.down)
            throw Error { ErrorKind::unavailable, "table service is down", "retry later" };
    }

    MemoryTable& m_rows;
    TableFaults& m_faults;
};

}
