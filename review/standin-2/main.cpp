// The stand-ins of the review's scripts: store, executor, proxy, and single calls of a client or operator.
#include "executor.h"
#include "proxy.h"
#include "store.h"

#include <fstream>
#include <iostream>
#include <sstream>

using namespace standin;

namespace {

std::map<std::string, std::string> optionsOf(int argc, char** argv)
{
    std::map<std::string, std::string> options;
    for (int i = 2; i + 1 < argc; i += 2)
        options[std::string { argv[i] }.substr(2)] = argv[i + 1];
    return options;
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::stringstream stream { text };
    for (std::string it; std::getline(stream, it, ',');)
        parts.push_back(it);
    return parts;
}

int runExecutor(const std::map<std::string, std::string>& options)
{
    ExecutorOptions it;
    it.name = options.at("name");
    it.id = options.at("id");
    it.listen = options.at("listen");
    it.agent = options.at("agent");
    it.zone = options.at("zone");
    it.service = options.at("service");
    it.labels = split(options.at("labels"));
    it.cpu = std::stoll(options.at("cpu"));
    it.memMb = std::stoll(options.at("mem"));
    it.gpu = std::stoll(options.at("gpu"));
    Executor { it }.run();
    return 0;
}

/*! @brief Makes one call; prints the status and the body, or 0 without an answer. */
int runCall(const std::map<std::string, std::string>& options)
{
    std::string headers = "Host: " + options.at("host") + "\r\nContent-Type: application/json\r\n";
    if (options.count("key") > 0)
        headers += "Authorization: Bearer " + options.at("key") + "\r\nX-Request-Deadline: 3000\r\n";
    const auto answer = call(options.at("to"), options.at("method"), options.at("path"), headers,
        options.count("body") > 0 ? options.at("body") : std::string {}, 3000);
    std::cout << (answer ? std::to_string(answer->status) + " " + answer->body : std::string { "0" }) << '\n';
    return 0;
}

}

int main(int argc, char** argv)
{
    if (argc < 2)
        return 2;
    const std::string verb = argv[1];
    const auto options = optionsOf(argc, argv);
    if (options.count("record") > 0)
        recordPath = options.at("record");
    if (verb == "store") {
        Store store;
        serve(options.at("listen"), [&store](const Request& it) { return store.handle(it); });
    } else if (verb == "executor") {
        return runExecutor(options);
    } else if (verb == "proxy") {
        std::signal(SIGUSR1, [](int) { silences = silences + 1; });
        // Pairs of addresses: listen=target,listen=target
        for (const auto& it : split(options.at("pairs"))) {
            const auto equals = it.find('=');
            std::thread { [proxy = Proxy { it.substr(0, equals), it.substr(equals + 1) }] { proxy.run(); } }.detach();
        }
        while (true)
            pause();
    } else if (verb == "call") {
        return runCall(options);
    }
    return 2;
}
