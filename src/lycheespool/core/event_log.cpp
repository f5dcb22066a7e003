#include "lycheespool/core/event_log.h"

#include "lycheespool/core/boot_clock.h"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <map>
#include <memory>
#include <mutex>

namespace lycheespool {

namespace {

// Lines waiting for the writer thread; 1,024 lines of about 200 bytes stay far below the memory of the smallest VM.
constexpr std::size_t queuedLines = 1024;

struct EventBudget {
    std::int64_t second { 0 };
    unsigned written { 0 };
    std::uint64_t suppressed { 0 };
};

struct EventLog {
    std::string process;
    std::shared_ptr<spdlog::details::thread_pool> writer;
    std::shared_ptr<spdlog::async_logger> logger;
    std::mutex mutex;
    std::map<std::string, EventBudget, std::less<>> budgets;
};

EventLog& eventLog()
{
    static EventLog log;
    return log;
}

/*! @brief Takes one line from the budget of an event; gives the lines suppressed before it, or nothing. */
bool takeBudget(EventLog& log, std::string_view event, std::int64_t second, std::uint64_t& suppressed)
{
    const std::scoped_lock lock { log.mutex };
    auto it = log.budgets.find(event);
    if (it == log.budgets.end())
        it = log.budgets.emplace(std::string { event }, EventBudget {}).first;
    auto& budget = it->second;
    if (budget.second != second) {
        budget.second = second;
        budget.written = 0;
    }
    if (budget.written >= maxLinesPerSecond) {
        ++budget.suppressed;
        return false;
    }
    ++budget.written;
    suppressed = std::exchange(budget.suppressed, 0);
    return true;
}

}

void startEventLog(const std::string& process)
{
    auto& log = eventLog();
    log.process = process;
    log.writer = std::make_shared<spdlog::details::thread_pool>(queuedLines, 1U);
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    log.logger = std::make_shared<spdlog::async_logger>(
        "events", std::move(sink), log.writer, spdlog::async_overflow_policy::overrun_oldest);
    log.logger->set_pattern("%v");
}

void stopEventLog()
{
    auto& log = eventLog();
    if (!log.logger)
        return;
    log.logger->flush();
    log.logger.reset();
    log.writer.reset();
}

std::uint64_t droppedEvents()
{
    const auto& log = eventLog();
    return log.writer ? log.writer->overrun_counter() : 0;
}

void logEvent(std::string_view event, nlohmann::json fields)
{
    auto& log = eventLog();
    if (!log.logger)
        return;
    const auto now = unixMillis();
    std::uint64_t suppressed = 0;
    if (!takeBudget(log, event, now / 1000, suppressed))
        return;
    fields["at"] = now;
    fields["event"] = event;
    fields["process"] = log.process;
    if (suppressed > 0)
        fields["suppressed"] = suppressed;
    const auto dropped = droppedEvents();
    if (dropped > 0)
        fields["dropped"] = dropped;
    log.logger->info(fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}
