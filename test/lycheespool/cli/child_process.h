#pragma once

#include <csignal>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace lycheespool::test {

/*! @brief What a child process gets besides its arguments. */
struct ChildOptions {
    /*! @brief Variables as in `NAME=value`, added to those of this process. */
    std::vector<std::string> environment;
    /*! @brief File that standard output and standard error are appended to; empty leaves them as they are. */
    std::string outputPath;
};

/*! @brief A process of the system that a test starts, signals and always ends. */
class ChildProcess {
public:
    explicit ChildProcess(const std::vector<std::string>& args, const ChildOptions& options = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /*! @brief Sends a signal. */
    void signal(int number) const;

    /*! @brief Gives what wait() gives when the process has ended, without waiting. */
    std::optional<int> poll();

    /*! @brief Waits for the end; gives the exit code, or minus the signal that ended the process. */
    int wait();

private:
    pid_t m_pid { 0 };
};

}
