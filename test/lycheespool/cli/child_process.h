#pragma once

#include <csignal>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace lycheespool::test {

/*! @brief Environment and output of a child process. */
struct ChildOptions {
    /*! @brief Variables as in `NAME=value`, added to those of this process. */
    std::vector<std::string> environment;
    /*! @brief File that standard output and standard error are appended to; empty leaves them as they are. */
    std::string outputPath;
};

/*! @brief A process of the system that a test starts and signals; ended by the destructor. */
class ChildProcess {
public:
    explicit ChildProcess(const std::vector<std::string>& args, const ChildOptions& options = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /*! @brief Sends a signal. */
    void signal(int number) const;

    /*! @brief Returns the result of wait() if the process has ended, without blocking. */
    std::optional<int> poll();

    /*! @brief Waits for the process to end; returns the exit code, or the negated signal that ended it. */
    int wait();

private:
    pid_t m_pid { 0 };
};

}
