#pragma once

#include "soak/deployment.h"
#include "soak/invariant_checker.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace lycheespool::soak {

/*! @brief Injects faults into a deployment from outside, in a sequence that the seed determines. */
class FaultInjector {
public:
    FaultInjector(IoPool& pool, Deployment& deployment, InvariantChecker& checker, std::uint64_t seed);

    /*! @brief Injects one fault after another; they overlap. */
    [[nodiscard]] Awaitable<> run(Duration length);
    [[nodiscard]] const std::vector<std::string>& journal() const { return m_journal; }

private:
    struct Action {
        std::string name;
        std::function<void(Duration)> start;
    };

    void addStoreActions();
    void addLinkActions();
    void addProcessActions();
    void addExecutorActions();
    void addOperatorActions();
    /*! @brief Calls a function after a delay. */
    void schedule(Duration time, std::function<void()> then);
    [[nodiscard]] Awaitable<> callAfter(Duration time, std::function<void()> then);
    [[nodiscard]] std::size_t randomIndex(std::size_t count);
    [[nodiscard]] Deployment::Gateway& randomGateway();
    [[nodiscard]] Deployment::Node& randomNode();
    void note(const std::string& text);
    void injectLinkFault(FaultProxy& proxy, const std::string& name, Duration time);

    IoPool& m_pool;
    Deployment& m_deployment;
    InvariantChecker& m_checker;
    std::mt19937_64 m_random;
    TimePoint m_started;
    std::vector<Action> m_actions;
    std::vector<std::string> m_journal;
};

}
