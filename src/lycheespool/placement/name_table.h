#pragma once

#include "lycheespool/placement/gang_shape.h"

#include <unordered_map>
#include <vector>

namespace lycheespool {

/**
 * @brief Maps names to dense indices.
 * @tparam Name Type of the names.
 */
template <typename Name>
class NameTable {
public:
    /**
     * @brief Returns the index of a name and inserts the name if it is new.
     * @param name The name.
     * @return Its index.
     */
    [[nodiscard]] Index indexOf(const Name& name)
    {
        const auto [it, inserted] = m_index.try_emplace(name, static_cast<Index>(m_names.size()));
        if (inserted)
            m_names.push_back(name);
        return it->second;
    }

    /**
     * @brief Returns the name of an index.
     * @param index The index.
     * @return The name.
     */
    [[nodiscard]] const Name& name(Index index) const { return m_names[index]; }

    [[nodiscard]] Index size() const { return static_cast<Index>(m_names.size()); }

private:
    std::unordered_map<Name, Index> m_index;
    std::vector<Name> m_names;
};

}
