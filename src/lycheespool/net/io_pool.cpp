#include "lycheespool/net/io_pool.h"

#include <algorithm>

namespace lycheespool {

IoPool::IoPool(std::size_t threads)
{
    const auto count = std::max<std::size_t>(threads, 1);
    for (std::size_t i = 0; i < count; ++i) {
        m_contexts.push_back(std::make_unique<Context>());
        m_guards.push_back(asio::make_work_guard(*m_contexts.back()));
    }
    for (auto& it : m_contexts)
        m_threads.emplace_back([context = it.get()] { context->run(); });
}

IoPool::~IoPool()
{
    stop();
    // A coroutine that is suspended on one context may own sockets of another one, so the pending work of all contexts
    // is destroyed before the first context is.
    for (auto& it : m_contexts)
        it->shutdown();
}

void IoPool::stop()
{
    for (auto& it : m_contexts)
        it->stop();
    for (auto& it : m_threads) {
        if (it.joinable())
            it.join();
    }
}

}
