#pragma once

#include "lycheespool/core/published.h"
#include "lycheespool/request/thread_index.h"

#include <array>
#include <cstddef>
#include <optional>

namespace lycheespool {

/**
 * @brief One Reader of a published value per thread, owned by one object.
 *
 * The readers belong to the object and not to the threads, so a snapshot never outlives what it refers to.
 *
 * @tparam Value Type of the snapshot.
 */
template <typename Value>
class ThreadReaders {
public:
    /**
     * @brief Constructs the readers; each one is created on the first read of its thread.
     * @param published Cell to read; must outlive the readers.
     */
    explicit ThreadReaders(const Published<Value>& published)
        : m_published { published }
    {
    }

    /**
     * @brief Calls a function with the current snapshot.
     * @tparam Function Callable as `Result(const Value&)`; must not suspend a coroutine.
     * @param function The function.
     * @return Result of the function.
     */
    template <typename Function>
    decltype(auto) read(Function function)
    {
        const auto index = threadIndex();
        if (index >= m_slots.size())
            return function(*m_published.load());
        auto& reader = m_slots[index].reader;
        if (!reader)
            reader.emplace(m_published);
        return function(*reader->get());
    }

private:
    // Threads beyond this number load the value under the lock of the cell; an entry runs about one thread per core.
    static constexpr std::size_t maxThreads = 64;
    static constexpr std::size_t cacheLineBytes = 64;

    struct alignas(cacheLineBytes) Slot {
        std::optional<typename Published<Value>::Reader> reader;
    };

    const Published<Value>& m_published;
    std::array<Slot, maxThreads> m_slots;
};

}
