#include "lycheespool/cli/fwd.h"
#include "lycheespool/cli/roles.h"
#include "lycheespool/core/error.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>

namespace lycheespool {

namespace {

struct Role {
    std::string_view name;
    std::string_view description;
    ExitCode (*run)(const Args&);
};

constexpr std::array roles {
    Role { "entry", "serves clients, operators and agents", runEntry },
    Role { "agent", "connects an executor or a worker to the entries", runAgent },
    Role { "gateway", "serves clients on the users' platform; one gateway is the leader", runGateway },
    Role { "node-agent", "manages the executor of its VM on the users' platform", runNodeAgent },
    Role { "document", "shows, validates and edits the configuration document", runDocument },
    Role { "status", "shows the state of the system", runStatus },
    Role { "dev", "runs a small complete system in one process on loopback", runDev },
    Role { "load", "sends requests to an entry and reports rates and latencies", runLoad },
    Role { "table", "emulates the platform's table service and object store", runTable },
    Role { "executor", "emulates an executor", runExecutor },
    Role { "worker", "emulates a worker", runWorker },
};

void printUsage(std::FILE* stream)
{
    fmt::print(stream, "usage: lycheespool ROLE [settings]\n\nroles:\n");
    for (const auto& it : roles)
        fmt::print(stream, "  {:10} {}\n", it.name, it.description);
    fmt::print(stream, "\n'lycheespool ROLE --help' lists the settings of a role.\n");
}

}

int runCommand(int argc, char** argv)
{
    const Args args { argv + 1, argv + argc };
    if (args.empty() || args[0] == "--help" || args[0] == "help") {
        printUsage(args.empty() ? stderr : stdout);
        return static_cast<int>(args.empty() ? ExitCode::invalidSetting : ExitCode::success);
    }
    const auto role = std::ranges::find(roles, args[0], &Role::name);
    if (role == roles.end()) {
        fmt::print(stderr, "lycheespool: unknown role '{}'\n", args[0]);
        printUsage(stderr);
        return static_cast<int>(ExitCode::invalidSetting);
    }
    try {
        return static_cast<int>(role->run({ args.begin() + 1, args.end() }));
    } catch (const Error& error) {
        fmt::print(stderr, "lycheespool {}: {}\n", role->name, error.what());
        const bool setting = error.kind() == ErrorKind::invalidSetting;
        return static_cast<int>(setting ? ExitCode::invalidSetting : ExitCode::failure);
    }
}

}
