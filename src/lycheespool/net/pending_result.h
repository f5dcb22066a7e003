#pragma once

#include "lycheespool/net/asio.h"
#include "lycheespool/net/wake_up.h"

#include <exception>
#include <memory>
#include <optional>
#include <utility>

namespace lycheespool {

/**
 * @brief Result of a coroutine that runs on its own, so that its starter may stop waiting for it.
 *
 * Must be used from a single thread.
 *
 * @tparam Result Type of the result.
 */
template <typename Result>
class PendingResult {
public:
    /**
     * @brief Starts a coroutine.
     * @param executor Executor of the thread.
     * @param operation The coroutine.
     * @param wakeUp Woken when the result is there; several results may share it.
     * @return The result to come.
     */
    [[nodiscard]] static std::shared_ptr<PendingResult> start(
        const asio::any_io_executor& executor, Awaitable<Result> operation, std::shared_ptr<WakeUp> wakeUp)
    {
        auto pending = std::make_shared<PendingResult>();
        asio::co_spawn(executor, std::move(operation),
            [pending, wakeUp = std::move(wakeUp)](std::exception_ptr error, Result value) {
                pending->m_error = std::move(error);
                pending->m_value = std::move(value);
                wakeUp->wake();
            });
        return pending;
    }

    /*! @brief Checks if the coroutine has ended. */
    [[nodiscard]] bool isReady() const { return m_value.has_value(); }

    /**
     * @brief Returns the result, which must be ready.
     * @return The result.
     * @throws What the coroutine threw.
     */
    [[nodiscard]] const Result& get() const
    {
        if (m_error)
            std::rethrow_exception(m_error);
        return *m_value;
    }

private:
    std::optional<Result> m_value;
    std::exception_ptr m_error;
};

}
