#pragma once

#include "soak/deployment.h"
#include "soak/referee.h"

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace lycheespool::soak {

/*! @brief Clients that hand jobs in, look at them and cancel some; each keeps its connections to the gateways. */
class Clients {
public:
    Clients(IoPool& pool, Deployment& deployment, Referee& referee, std::uint64_t seed);

    /*! @brief Hands jobs in at random moments until it is stopped. */
    [[nodiscard]] Awaitable<> run();
    void stop() { m_isStopped = true; }
    /*! @brief Asks once for the state of a job. */
    [[nodiscard]] Awaitable<> look(std::string job);
    /*! @brief Calls that got an answer other than a refusal, and all calls. */
    [[nodiscard]] std::pair<std::size_t, std::size_t> served() const { return { m_served, m_calls }; }

private:
    [[nodiscard]] Awaitable<> follow(SoakJob job);
    [[nodiscard]] Awaitable<bool> handIn(SoakJob job);
    [[nodiscard]] Awaitable<AttemptOutcome> attempt(SoakJob job, Duration& pause);
    [[nodiscard]] Awaitable<> cancel(std::string job);
    [[nodiscard]] Awaitable<HttpResponse> call(std::string method, std::string job, std::string body);
    [[nodiscard]] std::int64_t between(std::int64_t low, std::int64_t high);

    IoPool& m_pool;
    Referee& m_referee;
    std::vector<std::unique_ptr<HttpClient>> m_gateways;
    std::mt19937_64 m_random;
    std::uint64_t m_nextJob { 1 };
    std::size_t m_calls { 0 };
    std::size_t m_served { 0 };
    bool m_isStopped { false };
};

}
