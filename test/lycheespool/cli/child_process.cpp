#include "lycheespool/cli/child_process.h"

#include <algorithm>
#include <fcntl.h>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lycheespool::test {

namespace {

std::vector<char*> pointersTo(std::vector<std::string>& words)
{
    std::vector<char*> pointers;
    std::ranges::transform(words, std::back_inserter(pointers), [](auto& it) { return it.data(); });
    pointers.push_back(nullptr);
    return pointers;
}

int exitCodeOf(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status); }

}

ChildProcess::ChildProcess(const std::vector<std::string>& args, const ChildOptions& options)
{
    std::vector<std::string> words { LYCHEESPOOL_BINARY };
    std::ranges::copy(args, std::back_inserter(words));
    auto variables = options.environment;
    for (auto* const* it = environ; *it; ++it)
        variables.emplace_back(*it);
    posix_spawn_file_actions_t actions {};
    ::posix_spawn_file_actions_init(&actions);
    if (!options.outputPath.empty()) {
        ::posix_spawn_file_actions_addopen(
            &actions, STDOUT_FILENO, options.outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
        ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    }
    const auto result = ::posix_spawn(
        &m_pid, LYCHEESPOOL_BINARY, &actions, nullptr, pointersTo(words).data(), pointersTo(variables).data());
    ::posix_spawn_file_actions_destroy(&actions);
    if (result != 0)
        throw std::runtime_error { "cannot start " LYCHEESPOOL_BINARY };
}

ChildProcess::~ChildProcess()
{
    if (m_pid == 0)
        return;
    signal(SIGKILL);
    (void)wait();
}

void ChildProcess::signal(int number) const
{
    // Process id 0 would signal the whole process group of this program.
    if (m_pid != 0)
        ::kill(m_pid, number);
}

std::optional<int> ChildProcess::poll()
{
    int status = 0;
    if (m_pid == 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return std::nullopt;
    m_pid = 0;
    return exitCodeOf(status);
}

int ChildProcess::wait()
{
    // Waiting for process id 0 would wait for any child of this program.
    if (m_pid == 0)
        throw std::logic_error { "the exit status of this process was already collected" };
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = 0;
    return exitCodeOf(status);
}

}
