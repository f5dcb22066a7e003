#pragma once

#include "lycheespool/net/asio.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace lycheespool {

/*! @brief Threads with one Asio context each; a connection stays on the context that it was given. */
class IoPool {
public:
    /*! @brief Work guard of a context. */
    using Guard = asio::executor_work_guard<asio::io_context::executor_type>;

    /**
     * @brief Starts the threads.
     * @param threads Number of threads, at least 1.
     */
    explicit IoPool(std::size_t threads);
    ~IoPool();
    IoPool(const IoPool&) = delete;
    IoPool& operator=(const IoPool&) = delete;

    /**
     * @brief Returns the context of one thread; the first one runs timers and control work.
     * @param index Number of the thread, below size().
     * @return The context.
     */
    [[nodiscard]] asio::io_context& context(std::size_t index = 0) { return *m_contexts[index]; }

    /**
     * @brief Returns the contexts in turn.
     * @return The next context.
     */
    [[nodiscard]] asio::io_context& next() { return *m_contexts[m_next.fetch_add(1) % m_contexts.size()]; }

    /**
     * @brief Returns the number of threads.
     * @return Number of threads.
     */
    [[nodiscard]] std::size_t size() const { return m_contexts.size(); }

    /*! @brief Stops all contexts and joins the threads; safe to call twice, not from a thread of the pool. */
    void stop();

private:
    /*! @brief A context whose pending work can be destroyed while the context still exists. */
    class Context : public asio::io_context {
    public:
        Context()
            : asio::io_context { 1 }
        {
        }

        using asio::execution_context::shutdown;
    };

    std::vector<std::unique_ptr<Context>> m_contexts;
    std::vector<Guard> m_guards;
    std::vector<std::thread> m_threads;
    std::atomic<std::size_t> m_next { 0 };
};

}
