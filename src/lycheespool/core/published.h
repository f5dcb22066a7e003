#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace lycheespool {

/**
 * @brief Read-copy-update cell: readers hold an immutable snapshot, writers replace it whole.
 *
 * A thread on a hot path keeps a Reader, which costs one atomic load as long as nothing was published. The mutex is
 * taken by writers, and once by each reader after a publication. std::atomic<std::shared_ptr> is not used because its
 * implementation in g++ 12 unlocks with relaxed order, which the thread sanitizer reports as a race.
 *
 * @tparam Value Type of the snapshot.
 */
template <typename Value>
class Published {
public:
    /*! @brief Shared ownership of one immutable version. */
    using Snapshot = std::shared_ptr<const Value>;

    /*! @brief Keeps the latest snapshot for one thread; not to be shared between threads. */
    class Reader {
    public:
        /**
         * @brief Constructs a reader.
         * @param published Cell to read; must outlive the reader.
         */
        explicit Reader(const Published& published)
            : m_published { published }
        {
        }

        /**
         * @brief Returns the current version.
         * @return Never null; stays valid until the next call, or longer when copied.
         */
        [[nodiscard]] const Snapshot& get()
        {
            const auto version = m_published.m_version.load(std::memory_order_acquire);
            if (!m_snapshot || version != m_version) {
                m_snapshot = m_published.load();
                m_version = version;
            }
            return m_snapshot;
        }

    private:
        const Published& m_published;
        Snapshot m_snapshot;
        std::uint64_t m_version { 0 };
    };

    Published()
        : m_snapshot { std::make_shared<const Value>() }
    {
    }

    /**
     * @brief Returns a snapshot of the current version.
     * @return Never null.
     */
    [[nodiscard]] Snapshot load() const
    {
        const std::scoped_lock lock { m_mutex };
        return m_snapshot;
    }

    /**
     * @brief Replaces the current version.
     * @param value The new version.
     */
    void store(Value value) { publish(std::make_shared<const Value>(std::move(value))); }

    /**
     * @brief Replaces the current version by a changed copy; concurrent updates happen one after the other.
     * @tparam Change Callable as `void(Value&)`.
     * @param change Changes the copy.
     */
    template <typename Change>
    void update(Change change)
    {
        const std::scoped_lock lock { m_writers };
        auto copy = std::make_shared<Value>(*load());
        change(*copy);
        publish(std::move(copy));
    }

private:
    void publish(Snapshot snapshot)
    {
        const std::scoped_lock lock { m_mutex };
        m_snapshot.swap(snapshot);
        m_version.fetch_add(1, std::memory_order_release);
    }

    mutable std::mutex m_mutex;
    std::mutex m_writers;
    Snapshot m_snapshot;
    std::atomic<std::uint64_t> m_version { 1 };
};

}
