#include "lycheespool/net/io_pool.h"

#include <algorithm>

namespace lycheespool {

IoPool::IoPool(std::size_t threads)
{
    const auto count = std::max<std::size_t>(threads, 1);
    for (std::size_t i = 0; i < count; ++i) {
        m_contexts.push_back(std::make_unique<asio::io_context>(1));
        m_guards.push_back(asio::make_work_guard(*m_contexts.back()));
    }
    for (auto& it : m_contexts)
        m_threads.emplace_back([context = it.get()] { context->run(); });
}

IoPool::~IoPool() { stop(); }

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
