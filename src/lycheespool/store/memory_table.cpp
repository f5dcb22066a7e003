#include "lycheespool/store/memory_table.h"

namespace lycheespool {

Row MemoryTable::get(const std::string& key) const
{
    const std::scoped_lock lock { m_mutex };
    const auto it = m_rows.find(key);
    if (it == m_rows.end())
        return { key, {}, 0 };
    return { key, it->second.value, it->second.version };
}

Rows MemoryTable::list(std::string_view prefix) const
{
    const std::scoped_lock lock { m_mutex };
    Rows rows;
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end() && it->first.starts_with(prefix); ++it)
        rows.push_back({ it->first, it->second.value, it->second.version });
    return rows;
}

CommitResult MemoryTable::commit(const Transaction& transaction)
{
    const std::scoped_lock lock { m_mutex };
    CommitResult result;
    for (const auto& it : transaction.conditions) {
        if (versionOf(it.key) != it.version)
            result.conflicts.push_back(it.key);
    }
    if (!result.conflicts.empty())
        return result;
    result.committed = true;
    result.version = ++m_lastVersion;
    for (const auto& it : transaction.writes) {
        if (it.value)
            m_rows.insert_or_assign(it.key, Entry { *it.value, result.version });
        else
            m_rows.erase(it.key);
    }
    return result;
}

std::uint64_t MemoryTable::versionOf(const std::string& key) const
{
    const auto it = m_rows.find(key);
    return it == m_rows.end() ? 0 : it->second.version;
}

}
