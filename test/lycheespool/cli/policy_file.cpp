#include "lycheespool/cli/child_process.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

#include <unistd.h>

using namespace lycheespool::test;

// Guards against a gateway that starts with the defaults although its policy file is wrong.
TEST_CASE("a gateway with a wrong policy ends with the exit code for invalid settings and names the key")
{
    const auto folder = "/tmp/lycheespool-policy-" + std::to_string(::getpid());
    const auto policyPath = folder + ".toml";
    const auto outputPath = folder + ".out";
    std::ofstream { policyPath } << "[preemption]\nslack_ms = -5\n";
    ChildProcess gateway { { "gateway", "--policy", policyPath }, { {}, outputPath } };
    constexpr int invalidSetting = 2;
    CHECK(gateway.wait() == invalidSetting);
    std::ifstream output { outputPath };
    const std::string text { std::istreambuf_iterator<char> { output }, {} };
    CHECK(text.find("preemption.slack_ms = -5 is not allowed, use a number from 0 to 60000") != std::string::npos);
    std::remove(policyPath.c_str());
    std::remove(outputPath.c_str());
}
