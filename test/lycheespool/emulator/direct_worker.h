#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/emulator/worker_api.h"
#include "lycheespool/emulator/worker_model.h"

namespace lycheespool {

/*! @brief Reads a clock that a test moves. */
struct SharedClock {
    const ManualClock* clock;

    [[nodiscard]] TimePoint now() const { return clock->now(); }
};

/*! @brief Worker without a network; a model of WorkerApi. */
struct DirectWorker {
    WorkerModel& model;
    SharedClock clock;
    bool unreachable { false };

    [[nodiscard]] Awaitable<> start(TaskStart start)
    {
        check();
        model.start(start, clock.now());
        co_return;
    }

    [[nodiscard]] Awaitable<> renew(Duration lease)
    {
        check();
        model.renew(lease, clock.now());
        co_return;
    }

    [[nodiscard]] Awaitable<Duration> checkpoint(TaskKey key)
    {
        check();
        co_return model.checkpoint(key, clock.now());
    }

    [[nodiscard]] Awaitable<> throttle(TaskKey key, std::uint32_t speedPercent)
    {
        check();
        model.throttle(key, speedPercent, clock.now());
        co_return;
    }

    [[nodiscard]] Awaitable<> stop(TaskKey key)
    {
        check();
        model.stop(key, clock.now());
        co_return;
    }

    [[nodiscard]] Awaitable<TaskStatuses> list()
    {
        check();
        co_return model.list(clock.now());
    }

    void check() const
    {
        if (unreachable)
            throw Error { ErrorKind::unavailable, "worker is unreachable", "retry later" };
    }
};

}
