#pragma once

#include "soak/deployment.h"
#include "soak/invariant_checker.h"

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace lycheespool::soak {

/*! @brief Clients that submit jobs, poll their state and cancel some, over persistent gateway connections. */
class Clients {
public:
    Clients(IoPool& pool, Deployment& deployment, InvariantChecker& checker, std::uint64_t seed);

    /*! @brief Submits jobs at random intervals until it is stopped. */
    [[nodiscard]] Awaitable<> run();
    void stop() { m_isStopped = true; }
    /*! @brief Requests the state of a job once. */
    [[nodiscard]] Awaitable<> pollState(std::string job);
    /*! @brief Returns the number of calls with a status below 500, and of all calls. */
    [[nodiscard]] std::pair<std::size_t, std::size_t> served() const { return { m_served, m_calls }; }

private:
    [[nodiscard]] Awaitable<> trackJob(SoakJob job);
    [[nodiscard]] Awaitable<bool> submit(SoakJob job);
    [[nodiscard]] Awaitable<SubmitOutcome> submitOnce(SoakJob job, Duration& pause);
    [[nodiscard]] Awaitable<> cancel(std::string job);
    [[nodiscard]] Awaitable<HttpResponse> call(std::string method, std::string job, std::string body);
    [[nodiscard]] std::int64_t between(std::int64_t low, std::int64_t high);

    IoPool& m_pool;
    InvariantChecker& m_checker;
    std::vector<std::unique_ptr<HttpClient>> m_gateways;
    std::mt19937_64 m_random;
    std::uint64_t m_nextJob { 1 };
    std::size_t m_calls { 0 };
    std::size_t m_served { 0 };
    bool m_isStopped { false };
};

}
