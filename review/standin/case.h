#pragma once

// What a case needs: a deployment, the verdict, and its entry in the list of cases.

#include "world.h"

#include <cstring>

namespace review {

using CaseFunction = int (*)();

inline std::map<std::string, CaseFunction>& allCases()
{
    static std::map<std::string, CaseFunction> cases;
    return cases;
}

struct Registration {
    Registration(const char* name, CaseFunction function) { allCases()[name] = function; }
};

/*! @brief False if TROUBLE=0 asks for the same run without the disruption. */
inline bool hasTrouble()
{
    const auto* const value = std::getenv("TROUBLE");
    return !value || std::strcmp(value, "0") != 0;
}

inline int verdict(const char* rule, std::size_t broken)
{
    record.line("%s: %zu broken", rule, broken);
    std::printf("%s: %s (%zu)\n", rule, broken > 0 ? "broken" : "held", broken);
    return broken > 0 ? 1 : 0;
}

/*! @brief Id of a job. */
inline std::string id(unsigned n)
{
    char text[17];
    std::snprintf(text, sizeof text, "5c0e7a21d94b%04x", n);
    return text;
}

/*! @brief First executor on which something runs, or the number of executors. */
inline std::size_t busyExecutor(const World& world)
{
    std::size_t i = 0;
    while (i < world.executors.size() && world.executors[i]->running() == 0)
        ++i;
    return i;
}

}
