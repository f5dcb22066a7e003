#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/task_key.h"
#include "lycheespool/emulator/task_start.h"
#include "lycheespool/emulator/task_status.h"
#include "lycheespool/net/asio.h"

#include <concepts>
#include <cstdint>
#include <vector>

namespace lycheespool {

/*! @brief Tasks as a worker lists them. */
using TaskStatuses = std::vector<TaskStatus>;

/**
 * @brief A worker as its agent uses it, with the functions of WorkerModel.
 *
 * All throw Error: unavailable when the worker certainly did not act, outcomeUnknown when it may have acted.
 */
template <typename Type>
concept WorkerApi
    = requires(Type& worker, const TaskStart& start, const TaskKey& key, Duration lease, std::uint32_t speedPercent)
{
    {
        worker.start(start)
        } -> std::same_as<Awaitable<>>;
    {
        worker.renew(lease)
        } -> std::same_as<Awaitable<>>;
    {
        worker.checkpoint(key)
        } -> std::same_as<Awaitable<Duration>>;
    {
        worker.throttle(key, speedPercent)
        } -> std::same_as<Awaitable<>>;
    {
        worker.stop(key)
        } -> std::same_as<Awaitable<>>;
    {
        worker.list()
        } -> std::same_as<Awaitable<TaskStatuses>>;
};

}
