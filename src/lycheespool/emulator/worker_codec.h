#pragma once

#include "lycheespool/emulator/task_start.h"
#include "lycheespool/emulator/worker_api.h"
#include "lycheespool/emulator/worker_faults.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace lycheespool {

/*! @brief JSON form of the worker's interface, used by its client and its emulator; times are in milliseconds. */
struct WorkerCodec {
    [[nodiscard]] static std::string encode(const TaskStart& start);
    [[nodiscard]] static std::string encode(const TaskStatuses& tasks);
    [[nodiscard]] static std::string encode(const WorkerFaults& faults);

    /**
     * @brief Reads the body of a start request.
     * @param key The task, from the request's path.
     * @param text JSON text.
     * @return The task to start.
     * @throws Error of kind invalidArgument.
     */
    [[nodiscard]] static TaskStart decodeStart(const TaskKey& key, std::string_view text);

    /**
     * @brief Reads a list of tasks.
     * @param text JSON text.
     * @return The tasks.
     * @throws Error of kind invalidArgument.
     */
    [[nodiscard]] static TaskStatuses decodeTasks(std::string_view text);

    /**
     * @brief Reads the body of a request that switches faults.
     * @param text JSON text; members that are absent keep their defaults.
     * @return The faults.
     * @throws Error of kind invalidArgument.
     */
    [[nodiscard]] static WorkerFaults decodeFaults(std::string_view text);

    /**
     * @brief Reads one number of a JSON object.
     * @param text JSON text.
     * @param name Name of the member.
     * @return The number.
     * @throws Error of kind invalidArgument.
     */
    [[nodiscard]] static std::uint64_t decodeNumber(std::string_view text, const char* name);
};

}
