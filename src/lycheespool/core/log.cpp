#include "lycheespool/core/log.h"

#include <fmt/chrono.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <unistd.h>

namespace lycheespool::detail {

void writeLogLine(LogLevel level, std::string_view text)
{
    static constexpr std::array<std::string_view, 3> names { "info", "warning", "error" };
    const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
    const auto line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z [{}] {}: {}\n", fmt::gmtime(seconds),
        (now - seconds).count(), ::getpid(), names[static_cast<std::size_t>(level)], text);
    std::fwrite(line.data(), 1, line.size(), stderr);
}

}
