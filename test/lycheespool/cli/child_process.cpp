#include "lycheespool/cli/child_process.h"

#include <algorithm>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace lycheespool::test {

ChildProcess::ChildProcess(const std::vector<std::string>& args)
{
    std::vector<std::string> words { LYCHEESPOOL_BINARY };
    std::ranges::copy(args, std::back_inserter(words));
    std::vector<char*> pointers;
    std::ranges::transform(words, std::back_inserter(pointers), [](auto& it) { return it.data(); });
    pointers.push_back(nullptr);
    if (::posix_spawn(&m_pid, LYCHEESPOOL_BINARY, nullptr, nullptr, pointers.data(), environ) != 0)
        throw std::runtime_error { "cannot start " LYCHEESPOOL_BINARY };
}

ChildProcess::~ChildProcess()
{
    if (m_pid == 0)
        return;
    signal(SIGKILL);
    (void)wait();
}

void ChildProcess::signal(int number) const { ::kill(m_pid, number); }

int ChildProcess::wait()
{
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

}
