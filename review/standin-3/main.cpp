// Runs one review case: standin CASE PROGRAM POLICY DIRECTORY RECORD. TROUBLE=0 leaves the disruption out.
#include "cases.h"

#include <cstdlib>
#include <iostream>

int main(int argc, char** argv)
{
    if (argc != 6) {
        std::cerr << "usage: standin CASE PROGRAM POLICY DIRECTORY RECORD\n";
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    ::signal(SIGTERM, standin::endStartedProcesses);
    ::signal(SIGINT, standin::endStartedProcesses);
    standin::DeploymentOptions options;
    options.program = argv[2];
    options.policy = argv[3];
    options.directory = argv[4];
    standin::record.open(argv[5]);
    const char* trouble = std::getenv("TROUBLE");
    const bool isDisturbed = !trouble || std::string { trouble } != "0";
    try {
        return standin::runCase(argv[1], options, isDisturbed);
    } catch (const std::exception& error) {
        standin::record.line(std::string { "the case could not run: " } + error.what());
        return 2;
    }
}
