#include "lycheespool/workload/task_name.h"

#include <fmt/format.h>

#include <array>
#include <charconv>

namespace lycheespool {

std::string TaskName::toString() const
{
    return fmt::format("{}.{}.{}.{}", job, position.occurrence, position.step, position.index);
}

std::optional<TaskName> parseTaskName(std::string_view text)
{
    std::array<std::uint32_t, 3> numbers {};
    for (std::size_t i = numbers.size(); i-- > 0;) {
        const auto dot = text.rfind('.');
        if (dot == std::string_view::npos)
            return std::nullopt;
        const auto digits = text.substr(dot + 1);
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), numbers[i]);
        if (ec != std::errc {} || end != digits.data() + digits.size())
            return std::nullopt;
        text.remove_suffix(text.size() - dot);
    }
    if (text.empty())
        return std::nullopt;
    return TaskName { std::string { text }, { numbers[0], numbers[1], numbers[2] } };
}

}
