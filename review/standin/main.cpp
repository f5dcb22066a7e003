// Plays one case of the review: standin CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
// could not run. With TROUBLE=0 in the environment the disruption is left out.

#include "case.h"

using namespace review;

namespace {

// A script may take 120 s.
constexpr unsigned longestRunS = 115;

[[noreturn]] void leave(int code)
{
    if (World::current)
        World::current->end();
    std::fflush(nullptr);
    // Threads of the stand-ins still run, so nothing is destroyed.
    std::_Exit(code);
}

}

int main(int argc, char** argv)
{
    if (argc != 3)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    record.open(std::string { argv[2] } + "/record.txt");
    std::thread { [] {
        std::this_thread::sleep_for(std::chrono::seconds { longestRunS });
        record.line("the case took too long");
        leave(2);
    } }.detach();
    const auto it = allCases().find(argv[1]);
    int code = 2;
    try {
        code = it == allCases().end() ? 2 : it->second();
    } catch (const std::exception& error) {
        record.line("the case could not run: %s", error.what());
    }
    leave(code);
}
