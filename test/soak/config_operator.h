#pragma once

#include "soak/config_checker.h"
#include "soak/deployment.h"
#include "soak/invariant_checker.h"

#include "lycheespool/net/http_client.h"

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace lycheespool::soak {

/*! @brief Changes the config, and probes with queue counts which version each gateway uses. */
class ConfigOperator {
public:
    ConfigOperator(IoPool& pool, Deployment& deployment, InvariantChecker& checker, std::uint64_t seed);

    /*! @brief Writes new versions at random intervals; never returns. */
    [[nodiscard]] Awaitable<> run();
    [[nodiscard]] std::uint64_t versions() const { return m_configs.newestSent(); }
    [[nodiscard]] std::size_t probes() const { return m_configs.probes(); }

private:
    [[nodiscard]] Awaitable<> probeLoop();
    [[nodiscard]] Awaitable<> probe(std::size_t gateway, std::uint64_t target, bool isKeyProbe);
    [[nodiscard]] std::uint64_t between(std::uint64_t low, std::uint64_t high);

    IoPool& m_pool;
    Deployment& m_deployment;
    InvariantChecker& m_checker;
    ConfigChecker m_configs;
    std::vector<std::unique_ptr<HttpClient>> m_gateways;
    std::mt19937_64 m_random;
};

}
