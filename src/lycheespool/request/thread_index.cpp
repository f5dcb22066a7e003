#include "lycheespool/request/thread_index.h"

#include <algorithm>
#include <mutex>
#include <vector>

namespace lycheespool {

namespace {

struct Indexes {
    std::mutex mutex;
    std::vector<bool> used;
};

Indexes& indexes()
{
    static Indexes instance;
    return instance;
}

/*! @brief Acquires an index on the first use in a thread and releases it when the thread ends. */
class ThreadNumber {
public:
    ThreadNumber()
    {
        auto& all = indexes();
        const std::scoped_lock lock { all.mutex };
        const auto it = std::find(all.used.begin(), all.used.end(), false);
        m_index = static_cast<std::size_t>(it - all.used.begin());
        if (it == all.used.end())
            all.used.push_back(true);
        else
            *it = true;
    }

    ~ThreadNumber()
    {
        auto& all = indexes();
        const std::scoped_lock lock { all.mutex };
        all.used[m_index] = false;
    }

    ThreadNumber(const ThreadNumber&) = delete;
    ThreadNumber& operator=(const ThreadNumber&) = delete;

    [[nodiscard]] std::size_t index() const { return m_index; }

private:
    std::size_t m_index { 0 };
};

}

std::size_t threadIndex()
{
    static thread_local const ThreadNumber number;
    return number.index();
}

}
