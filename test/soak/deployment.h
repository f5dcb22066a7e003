#pragma once

#include "soak/executor_emulator.h"
#include "soak/fault_proxy.h"
#include "soak/invariant_checker.h"
#include "soak/store_emulator.h"

#include "lycheespool/cli/child_process.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace lycheespool::soak {

/*! @brief Seed, size and directory of a deployment. */
struct DeploymentSettings {
    std::uint64_t seed { 1 };
    std::size_t gateways { 3 };
    std::size_t executors { 6 };
    /*! @brief Directory for settings files and logs. */
    std::filesystem::path directory;
};

/*! @brief A process of the system that is restarted when it has exited. */
class SupervisedProcess {
public:
    SupervisedProcess(std::string name, std::string role, std::filesystem::path directory);

    void start();
    void signal(int number);
    /*! @brief Restarts the process when it has exited; reports an unexpected exit as a violation. */
    void restartIfExited(InvariantChecker& checker);
    /*! @brief Ends the process at once. */
    void stop();
    void writeSettings(const std::string& text);
    /*! @brief Writes settings that cannot be parsed; a running process ignores them, one that starts exits with 2. */
    void breakSettings();
    [[nodiscard]] const std::string& name() const { return m_name; }
    /*! @brief Number of starts so far. */
    [[nodiscard]] unsigned starts() const { return m_starts; }

private:
    [[nodiscard]] std::filesystem::path settingsPath() const { return m_directory / (m_name + ".json"); }

    std::string m_name;
    std::string m_role;
    std::filesystem::path m_directory;
    TimePoint m_startedAt {};
    unsigned m_starts { 0 };
    bool m_hasBrokenSettings { false };
    /*! @brief The settings were broken while the process started, so it may exit with 2. */
    bool m_mayRefuseSettings { false };
    /*! @brief Null after a failed start. */
    std::unique_ptr<test::ChildProcess> m_process;
    bool m_isEndExpected { false };
    // A paused process cannot exit in time after SIGTERM.
    bool m_wasPaused { false };
    TimePoint m_killAt { TimePoint::max() };
};

/*! @brief Emulated store and executors and proxies in this process; gateways and agents as child processes. */
class Deployment {
public:
    Deployment(IoPool& pool, const DeploymentSettings& settings, InvariantChecker& checker);

    struct Gateway {
        SupervisedProcess process;
        std::unique_ptr<FaultProxy> front;
        /*! @brief Proxy before the address to which agents send reports. */
        std::unique_ptr<FaultProxy> messages;
        std::unique_ptr<FaultProxy> store;
        Address clientAddress;
        nlohmann::json settings;
    };
    struct Node {
        SupervisedProcess process;
        std::unique_ptr<ExecutorEmulator> executor;
        std::unique_ptr<FaultProxy> link;
        std::unique_ptr<FaultProxy> store;
        std::string zone;
        nlohmann::json settings;
    };

    /*! @brief Writes the first config and starts all processes. */
    [[nodiscard]] Awaitable<> start();
    /*! @brief Ends all faults. */
    void clearFaults();
    void restartIfExited();
    void stop();
    /*! @brief Rewrites the settings file of a process with other seed addresses. */
    void rewriteSettings(SupervisedProcess& process, nlohmann::json settings, std::size_t firstSeed) const;

    StoreEmulator store;
    std::vector<Gateway> gateways;
    std::vector<Node> nodes;

private:
    [[nodiscard]] nlohmann::json commonSettings(
        const std::string& name, const std::string& zone, const std::string& ip, const Address& storeAddress) const;
    [[nodiscard]] static Address addressOf(std::size_t host, std::uint16_t port);
    void addGateway(std::size_t index);
    void addNode(std::size_t index);

    IoPool& m_pool;
    DeploymentSettings m_settings;
    InvariantChecker& m_checker;
    GangRegistry m_gangs;
};

/*! @brief Returns the name of the zone of the gateway or executor with this index. */
[[nodiscard]] std::string zoneOf(std::size_t index);

/*! @brief Returns the text of a config version; it contains the probed routes and keys that exist in it. */
[[nodiscard]] std::string configText(std::uint64_t version);
/*! @brief Returns the path of the route that a config version added. */
[[nodiscard]] std::string probePath(std::uint64_t version);
/*! @brief Returns the key that a config version added. */
[[nodiscard]] std::string probeKey(std::uint64_t version);

/*! @brief Number of zones. */
inline constexpr std::size_t zoneCount = 3;
/*! @brief Host, path and API key that clients send. */
inline constexpr const char* queueHost = "jobs.example";
inline constexpr const char* queuePath = "/queue-a/";
inline constexpr const char* clientKey = "key-a";

}
