#pragma once

#include "soak/deployment.h"
#include "soak/referee.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace lycheespool::soak {

/*! @brief Disturbs a deployment from outside, by a sequence that the seed decides. */
class Chaos {
public:
    Chaos(IoPool& pool, Deployment& deployment, Referee& referee, std::uint64_t seed);

    /*! @brief Starts one disturbance after another; they overlap. */
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
    /*! @brief Calls something after a time. */
    void later(Duration time, std::function<void()> then);
    [[nodiscard]] Awaitable<> callLater(Duration time, std::function<void()> then);
    [[nodiscard]] std::size_t pick(std::size_t count);
    [[nodiscard]] Deployment::Gateway& gateway();
    [[nodiscard]] Deployment::Node& node();
    void note(const std::string& text);
    void disturbLink(FaultProxy& proxy, const std::string& name, Duration time);

    IoPool& m_pool;
    Deployment& m_deployment;
    Referee& m_referee;
    std::mt19937_64 m_random;
    TimePoint m_started;
    std::vector<Action> m_actions;
    std::vector<std::string> m_journal;
};

}
