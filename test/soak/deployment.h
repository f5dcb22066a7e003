#pragma once

#include "soak/executor_stand_in.h"
#include "soak/fault_proxy.h"
#include "soak/referee.h"
#include "soak/store_stand_in.h"

#include "lycheespool/cli/child_process.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace lycheespool::soak {

/*! @brief Size and place of a deployment. */
struct DeploymentSettings {
    std::uint64_t seed { 1 };
    std::size_t gateways { 3 };
    std::size_t executors { 6 };
    /*! @brief Directory for settings files and logs. */
    std::filesystem::path directory;
};

/*! @brief A process of the system that is started again when it has ended. */
class Member {
public:
    Member(std::string name, std::string role, std::filesystem::path directory);

    void start();
    void signal(int number);
    /*! @brief Starts the process again when it has ended; reports an end that nobody asked for. */
    void keepRunning(Referee& referee);
    /*! @brief Ends the process at once. */
    void stop();
    [[nodiscard]] std::filesystem::path settingsPath() const { return m_directory / (m_name + ".json"); }
    [[nodiscard]] const std::string& name() const { return m_name; }

private:
    std::string m_name;
    std::string m_role;
    std::filesystem::path m_directory;
    /*! @brief Null while the process could not be started. */
    std::unique_ptr<test::ChildProcess> m_process;
    bool m_isEndExpected { false };
    // A paused process cannot end in time.
    bool m_wasPaused { false };
    TimePoint m_killAt { TimePoint::max() };
};

/*! @brief The store, executors and proxies of this process, and the gateways and agents as processes of their own. */
class Deployment {
public:
    Deployment(IoPool& pool, const DeploymentSettings& settings, Referee& referee);

    struct Gateway {
        Member member;
        std::unique_ptr<FaultProxy> front;
        std::unique_ptr<FaultProxy> store;
        Address clientAddress;
        nlohmann::json settings;
    };
    struct Node {
        Member member;
        std::unique_ptr<ExecutorStandIn> executor;
        std::unique_ptr<FaultProxy> link;
        std::unique_ptr<FaultProxy> store;
        std::string zone;
        nlohmann::json settings;
    };

    /*! @brief Writes the first config and starts all processes. */
    [[nodiscard]] Awaitable<> start();
    /*! @brief Ends all disturbances. */
    void heal();
    void keepRunning();
    void stop();
    /*! @brief Writes the settings of a process again, with other seeds. */
    void rewriteSettings(const Member& member, nlohmann::json settings, std::size_t firstSeed) const;

    StoreStandIn store;
    std::vector<Gateway> gateways;
    std::vector<Node> nodes;

private:
    [[nodiscard]] nlohmann::json commonSettings(
        const std::string& name, const std::string& zone, const std::string& ip, const Address& storeAddress) const;
    [[nodiscard]] Address addressOf(std::size_t host, std::uint16_t port) const;
    void addGateway(std::size_t index);
    void addNode(std::size_t index);

    IoPool& m_pool;
    DeploymentSettings m_settings;
    Referee& m_referee;
    GangBoard m_gangs;
    unsigned m_net;
};

/*! @brief Name of the zone that a gateway or executor with this number is in. */
[[nodiscard]] std::string zoneOf(std::size_t index);

/*! @brief Number of zones. */
inline constexpr std::size_t zoneCount = 3;
/*! @brief What clients send as host, path and key. */
inline constexpr const char* queueHost = "jobs.example";
inline constexpr const char* queuePath = "/queue-a/";
inline constexpr const char* clientKey = "key-a";

}
