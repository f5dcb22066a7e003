#pragma once

#include "lycheespool/net/asio.h"
#include "lycheespool/net/signal.h"

#include <cstddef>

namespace lycheespool {

/**
 * @brief Shared mutex that separates renewals of the lease row from transactions conditional on its version.
 *
 * Transactions hold it shared and run concurrently. A renewal holds it exclusively: it waits for the transactions in
 * progress and blocks new ones. Otherwise a concurrent renewal would make the condition fail although this process is
 * still the leader. Not thread-safe: all coroutines must run on one thread.
 */
class LeaseMutex {
public:
    /**
     * @brief Creates an unlocked mutex.
     * @param executor Executor of the thread that uses it.
     */
    explicit LeaseMutex(const asio::any_io_executor& executor)
        : m_signal { executor }
    {
    }

    /*! @brief Locks for a transaction after waiting for a pending renewal; unlockShared() must follow. */
    [[nodiscard]] Awaitable<> lockShared()
    {
        while (m_exclusiveRequested)
            co_await m_signal.wait();
        ++m_sharedLocks;
    }

    /*! @brief Releases the lock of lockShared(). */
    void unlockShared()
    {
        --m_sharedLocks;
        m_signal.notifyAll();
    }

    /*! @brief Blocks new transactions and waits for those in progress; unlockExclusive() must follow. */
    [[nodiscard]] Awaitable<> lockExclusive()
    {
        m_exclusiveRequested = true;
        while (m_sharedLocks > 0)
            co_await m_signal.wait();
    }

    /*! @brief Releases the lock of lockExclusive(). */
    void unlockExclusive()
    {
        m_exclusiveRequested = false;
        m_signal.notifyAll();
    }

private:
    Signal m_signal;
    std::size_t m_sharedLocks { 0 };
    bool m_exclusiveRequested { false };
};

}
