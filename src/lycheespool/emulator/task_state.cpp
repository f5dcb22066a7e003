#include "lycheespool/emulator/task_state.h"

#include "lycheespool/core/error.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace lycheespool {

namespace {

constexpr std::array<std::pair<TaskState, std::string_view>, 4> names { {
    { TaskState::running, "running" },
    { TaskState::done, "done" },
    { TaskState::failed, "failed" },
    { TaskState::stopped, "stopped" },
} };

}

std::string_view toString(TaskState state) { return names.at(static_cast<std::size_t>(state)).second; }

TaskState parseTaskState(std::string_view name)
{
    const auto* const it = std::ranges::find(names, name, &decltype(names)::value_type::second);
    if (it == names.end())
        throw Error { ErrorKind::invalidArgument, "unknown task state: " + std::string { name },
            "use running, done, failed or stopped" };
    return it->first;
}

}
