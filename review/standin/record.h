#pragma once

// The record of what was sent, answered and run.

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline const Clock::time_point processStart = Clock::now();

/*! @brief Milliseconds since the start of the script. */
inline long nowMs() { return std::chrono::duration_cast<Ms>(Clock::now() - processStart).count(); }

inline long unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

class Record {
public:
    /*! @brief Opens the file; without it the record goes to the standard error. */
    void open(const std::string& path)
    {
        if (auto* const file = std::fopen(path.c_str(), "w"))
            m_file = file;
    }
    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        const std::scoped_lock lock { m_mutex };
        std::fprintf(m_file, "%7.3f ", static_cast<double>(nowMs()) / 1000.0);
        va_list args;
        va_start(args, format);
        std::vfprintf(m_file, format, args);
        va_end(args);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::FILE* m_file { stderr };
    std::mutex m_mutex;
};

inline Record record;

}
