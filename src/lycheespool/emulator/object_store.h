#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace lycheespool {

/*! @brief Emulated object store in memory; safe to use from several threads. */
class ObjectStore {
public:
    /**
     * @brief Stores or replaces an object.
     * @param key Name of the object.
     * @param content Its bytes.
     */
    void put(const std::string& key, std::string content)
    {
        const std::scoped_lock lock { m_mutex };
        m_objects.insert_or_assign(key, std::move(content));
    }

    /**
     * @brief Reads an object.
     * @param key Name of the object.
     * @return Its bytes, or nothing when there is no such object.
     */
    [[nodiscard]] std::optional<std::string> get(const std::string& key) const
    {
        const std::scoped_lock lock { m_mutex };
        const auto it = m_objects.find(key);
        return it == m_objects.end() ? std::nullopt : std::optional { it->second };
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_objects;
};

}
