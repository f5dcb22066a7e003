#include "lycheespool/request/thread_index.h"

#include <algorithm>
#include <mutex>
#include <vector>

namespace lycheespool {

namespace {

struct IndexRegistry {
    std::mutex mutex;
    std::vector<bool> used;
};

IndexRegistry& indexRegistry()
{
    static IndexRegistry instance;
    return instance;
}

/*! @brief Acquires an index on the first use in a thread and releases it when the thread ends. */
class ThreadIndexOwner {
public:
    ThreadIndexOwner()
    {
        auto& registry = indexRegistry();
        const std::scoped_lock lock { registry.mutex };
        const auto it = std::find(registry.used.begin(), registry.used.end(), false);
        m_index = static_cast<std::size_t>(it - registry.used.begin());
        if (it == registry.used.end())
            registry.used.push_back(true);
        else
            *it = true;
    }

    ~ThreadIndexOwner()
    {
        auto& registry = indexRegistry();
        const std::scoped_lock lock { registry.mutex };
        registry.used[m_index] = false;
    }

    ThreadIndexOwner(const ThreadIndexOwner&) = delete;
    ThreadIndexOwner& operator=(const ThreadIndexOwner&) = delete;

    [[nodiscard]] std::size_t index() const { return m_index; }

private:
    std::size_t m_index { 0 };
};

}

std::size_t threadIndex()
{
    static thread_local const ThreadIndexOwner owner;
    return owner.index();
}

}
