#pragma once

#include <csignal>
#include <string>
#include <vector>

#include <sys/types.h>

namespace lycheespool::test {

/*! @brief A process of the system that a test starts, signals and always ends. */
class ChildProcess {
public:
    explicit ChildProcess(const std::vector<std::string>& args);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /*! @brief Sends a signal. */
    void signal(int number) const;

    /*! @brief Waits for the end; gives the exit code, or minus the signal that ended the process. */
    int wait();

private:
    pid_t m_pid { 0 };
};

}
