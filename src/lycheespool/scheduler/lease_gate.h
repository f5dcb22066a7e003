#pragma once

#include "lycheespool/net/asio.h"
#include "lycheespool/net/signal.h"

#include <cstddef>

namespace lycheespool {

/**
 * @brief Keeps renewals of the lease row apart from the transactions that name its version as a condition.
 *
 * Such transactions run side by side; a renewal waits for those under way and holds up new ones. Without this order, a
 * renewal in between would make the condition fail although this process is still the leader. One thread.
 */
class LeaseGate {
public:
    /**
     * @brief Makes an open gate.
     * @param executor Executor of the thread that uses it.
     */
    explicit LeaseGate(const asio::any_io_executor& executor)
        : m_signal { executor }
    {
    }

    /*! @brief Waits until no renewal is under way and enters; leaveShared() must follow. */
    [[nodiscard]] Awaitable<> enterShared()
    {
        while (m_renewing)
            co_await m_signal.wait();
        ++m_shared;
    }

    /*! @brief Ends what enterShared() began. */
    void leaveShared()
    {
        --m_shared;
        m_signal.notifyAll();
    }

    /*! @brief Holds up new transactions and waits for those under way; leaveRenewal() must follow. */
    [[nodiscard]] Awaitable<> enterRenewal()
    {
        m_renewing = true;
        while (m_shared > 0)
            co_await m_signal.wait();
    }

    /*! @brief Ends what enterRenewal() began. */
    void leaveRenewal()
    {
        m_renewing = false;
        m_signal.notifyAll();
    }

private:
    Signal m_signal;
    std::size_t m_shared { 0 };
    bool m_renewing { false };
};

}
