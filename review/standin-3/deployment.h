// A small deployment of the programs under test among the stand-ins.
#pragma once

#include "standin.h"

#include <memory>

namespace standin {

struct DeploymentOptions {
    std::string program;
    std::string policy;
    std::string directory;
    std::size_t gateways { 3 };
    std::size_t executors { 3 };
    /*! @brief Kind of each executor; "a" where the list is too short. */
    std::vector<std::string> kinds;
    std::int64_t maxHoldMs { 6000 };
};

class Deployment {
public:
    explicit Deployment(DeploymentOptions options)
        : m_options { std::move(options) }
    {
    }
    ~Deployment() { stop(); }

    /*! @brief Starts everything and waits until a gateway is ready and all executors have announced themselves. */
    bool start()
    {
        m_net = static_cast<int>(::getpid());
        if (!store.addAccess("operator", ip(9), 8090))
            return false;
        store.put("op", "config", configText(1).dump());
        for (std::size_t i = 0; i < m_options.gateways; ++i) {
            const auto name = "gateway-" + std::to_string(i);
            const auto host = 10 + static_cast<int>(i);
            if (!store.addAccess(name, ip(9), 8100 + host))
                return false;
            auto settings = common(name, "edge", i, host);
            settings["serves"] = { "edge", "control" };
            settings["listen"] = { { "front", address(host, 8521) }, { "ready", address(host, 8523) },
                { "control", address(host, 8526) } };
            gateways.push_back(launch(name, { m_options.program, "gateway", "--policy", m_options.policy }, settings));
            if (!gateways.back()->start())
                return false;
        }
        for (std::size_t i = 0; i < m_options.executors; ++i) {
            const auto name = "side-" + std::to_string(i);
            const auto host = 40 + static_cast<int>(i);
            if (!store.addAccess(name, ip(9), 8100 + host))
                return false;
            auto settings = common(name, "side", i, host);
            settings["serves"] = { "side" };
            settings["listen"] = { { "control", address(host, 8526) } };
            settings["app"] = address(host, 8529);
            settings["service"] = "service-a";
            agents.push_back(launch(name, { m_options.program, "node-agent" }, settings));
            if (!agents.back()->start())
                return false;
            ExecutorSettings executor;
            executor.name = "e" + std::to_string(i);
            executor.service = "service-a";
            executor.zone = zone(i);
            executor.ip = ip(host);
            const auto kind = i < m_options.kinds.size() ? m_options.kinds[i] : std::string { "a" };
            executor.labels = { kind, "r1-" + std::to_string(i / 3) };
            executor.maxHoldMs = m_options.maxHoldMs;
            executors.push_back(std::make_unique<Executor>(executor));
            if (!executors.back()->start())
                return false;
        }
        const auto until = steadyMs() + 15000;
        while (steadyMs() < until) {
            std::size_t ready = 0;
            for (std::size_t i = 0; i < m_options.gateways; ++i)
                ready += call(ip(10 + static_cast<int>(i)), 8523, "GET", "/v1/ready", {}, "", 500).status == 200;
            if (ready == m_options.gateways) {
                // The first lists of all executors arrive within a few seconds.
                sleepMs(4000);
                return true;
            }
            sleepMs(100);
        }
        return false;
    }

    void stop()
    {
        for (auto& it : agents)
            it->kill();
        for (auto& it : gateways)
            it->kill();
        for (auto& it : executors)
            it->shutDown();
        store.stop();
    }

    /*! @brief The client's call to a gateway; status 0 without an answer. */
    Message client(std::size_t gateway, const std::string& method, const std::string& path, const std::string& body,
        std::int64_t timeoutMs = 3000, const std::string& key = "key-a")
    {
        const auto answer = call(ip(10 + static_cast<int>(gateway)), 8521, method, path,
            { "Host: queue.example", "Authorization: Bearer " + key,
                "X-Request-Deadline: " + std::to_string(timeoutMs) },
            body, timeoutMs);
        record.line("client: " + method + " " + path + " at gateway-" + std::to_string(gateway) + " -> "
            + std::to_string(answer.status) + " " + answer.body);
        return answer;
    }

    [[nodiscard]] json configText(std::uint64_t version) const
    {
        return { { "version", version },
            { "routes", { route("queue-u", "/u/", 0, 250, 4, 1.5), route("queue-a", "/a/", 1, 1000, 2, 3.0),
                            route("queue-b", "/b/", 2, 3000, 2, 3.0) } },
            { "services",
                { { { "name", "service-a" }, { "healthPath", "/health" }, { "maxConns", 64 }, { "protocol", "h1" },
                    { "enforcesCapacity", false }, { "standby", false } } } },
            { "limits",
                { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 },
                    { "idleTimeoutMs", 15000 } } },
            { "tenants",
                { { { "name", "tenant-a" }, { "apiKeys", { "key-a" } }, { "priority", 1 },
                    { "guaranteed", { { "gpu", 8 } } } } } } };
    }

    [[nodiscard]] std::string ip(int host) const
    {
        return "127." + std::to_string(1 + m_net / 256 % 250) + "." + std::to_string(m_net % 256) + "."
            + std::to_string(host);
    }

    Store store;
    std::vector<std::unique_ptr<Process>> gateways;
    std::vector<std::unique_ptr<Process>> agents;
    std::vector<std::unique_ptr<Executor>> executors;

private:
    [[nodiscard]] static json route(const std::string& name, const std::string& prefix, int priority,
        int targetLatencyMs, int maxAttempts, double stretch)
    {
        return { { "name", name }, { "host", "queue.example" }, { "pathPrefix", prefix }, { "kind", "unsafe" },
            { "timeoutMs", 3000 }, { "targetLatencyMs", targetLatencyMs }, { "priority", priority },
            { "service", "service-a" }, { "maxAttempts", maxAttempts }, { "stretch", stretch },
            { "allowAnonymous", false } };
    }

    [[nodiscard]] std::string address(int host, int port) const { return ip(host) + ":" + std::to_string(port); }
    [[nodiscard]] static std::string zone(std::size_t i) { return "zone-" + std::to_string(i % 3); }

    [[nodiscard]] json common(const std::string& name, const std::string& machineClass, std::size_t i, int host) const
    {
        json seeds = json::array();
        for (std::size_t g = 0; g < m_options.gateways; ++g)
            seeds.push_back(address(10 + static_cast<int>(g), 8526));
        const bool isEdge = machineClass == "edge";
        return { { "node", name }, { "role", isEdge ? "gateway" : "node-agent" }, { "machineClass", machineClass },
            { "ip", ip(host) }, { "zone", zone(i) }, { "region", "region" },
            { "zones", { { "zone-0", "region" }, { "zone-1", "region" }, { "zone-2", "region" } } },
            { "internalPorts", { 7000, 7015 } }, { "seeds", seeds }, { "bootstrap", true },
            { "limits",
                { { "cpuShare", isEdge ? 0.25 : 0.15 }, { "cores", 1 }, { "memoryMb", isEdge ? 260 : 128 },
                    { "maxFds", 4096 }, { "linkMbps", 1000.0 }, { "diskMb", 0 } } },
            { "discovery", "local" }, { "entry", "vip" }, { "heartbeatMs", 1500 },
            { "bounds",
                { { "contactMs", 3000 }, { "ackTimeoutMs", 4000 }, { "drainMs", 2000 }, { "graceS", 6 },
                    { "configApplyMs", 2000 }, { "rollbackSlackMs", 250 }, { "maxSkewMs", 5000 },
                    { "evacuateMs", 5000 }, { "recoveryS", 12 }, { "maxHoldMs", m_options.maxHoldMs },
                    { "stopTimeoutMs", 400 }, { "gangTimeoutMs", 3000 }, { "cancel_ms", 3000 }, { "visible_ms", 3000 },
                    { "early_ms", 250 }, { "finish_s", 14 }, { "status_s", 120 }, { "remoteFactor", 3 },
                    { "checkpointS", 2 }, { "restoreMs", 250 }, { "noticeMs", 4500 }, { "leaseMs", 3000 },
                    { "reclaimMs", 2900 } } },
            { "orders", "rpc" },
            { "platform",
                { { "addr", address(9, 8100 + host) }, { "form", "table" }, { "writesPerS", 800 },
                    { "readsPerS", 2000 }, { "rowBytes", 65536 }, { "across", false }, { "historyS", 20 } } } };
    }

    std::unique_ptr<Process> launch(const std::string& name, std::vector<std::string> words, const json& settings)
    {
        const auto path = m_options.directory + "/" + name + ".json";
        std::ofstream { path } << settings.dump(1);
        return std::make_unique<Process>(std::move(words), path, m_options.directory + "/" + name + ".log");
    }

    DeploymentOptions m_options;
    int m_net { 0 };
};

}
