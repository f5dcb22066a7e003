#pragma once

#include "lycheespool/cli/settings_parser.h"
#include "lycheespool/placement/resources.h"

namespace lycheespool {

/**
 * @brief Declares the settings of a worker's capacity.
 * @param parser Parser of the role.
 */
inline void addCapacitySettings(SettingsParser& parser)
{
    parser.addNumber("cores", "processor cores of the worker", 60, 1, 4096);
    parser.addNumber("memory-mib", "memory of the worker, MiB", 131072, 1, 67108864);
    parser.addNumber("accelerators", "accelerators of the worker", 8, 0, 1024);
}

/**
 * @brief Reads the capacity of a worker.
 * @param parser Parser after parse().
 * @return The capacity.
 * @throws Error of kind invalidSetting.
 */
[[nodiscard]] inline Resources readCapacity(const SettingsParser& parser)
{
    Resources capacity;
    capacity.cores = static_cast<std::uint32_t>(parser.number("cores"));
    capacity.memoryMiB = static_cast<std::uint32_t>(parser.number("memory-mib"));
    capacity.accelerators = static_cast<std::uint32_t>(parser.number("accelerators"));
    return capacity;
}

}
