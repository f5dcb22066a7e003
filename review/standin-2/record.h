// The record of a case: one line for each event, appended by all processes.
#pragma once

#include "http.h"

#include <fcntl.h>

namespace standin {

inline std::string recordPath;

/*! @brief Appends a line with the time since the epoch in ms; short lines are written in one piece. */
inline void record(const std::string& text)
{
    const auto line = std::to_string(unixMs()) + " " + text + "\n";
    const int fd = open(recordPath.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    if (fd < 0 || write(fd, line.data(), line.size()) < 0)
        std::perror("record");
    close(fd);
}

}
