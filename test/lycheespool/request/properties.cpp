#include "cluster.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace lycheespool;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t entryCount = 3;
constexpr std::size_t agentCount = 3;

struct SentRequest {
    ClientRequest request;
    TimePoint deadline;
    TestCluster::Answers answers;
};

/*! @brief Random client requests and faults, and the checks on the observed answers and runs. */
class RequestSimulation {
public:
    void applyOperation(std::uint8_t kind)
    {
        if (kind < 90)
            send();
        else if (kind < 110)
            cluster.restart(*rc::gen::inRange<std::size_t>(0, agentCount));
        else if (kind < 170)
            cluster.agents.state().faults.push_back(static_cast<Fault>(*rc::gen::inRange(1, 8)));
        else if (kind < 190)
            anyEntry().faults.loseAnswers = *rc::gen::inRange<std::uint32_t>(1, 4);
        else if (kind < 200)
            anyEntry().faults.down = !anyEntry().faults.down;
        else
            pause();
    }

    /*! @brief Clears all faults and runs until all requests have ended. */
    void finishAll()
    {
        for (const auto& it : cluster.entries) {
            it->faults.down = false;
            it->faults.loseAnswers = 0;
        }
        cluster.run();
    }

    void check()
    {
        std::map<std::string, unsigned> answered;
        for (const auto& it : m_sent) {
            RC_ASSERT(it->answers.size() == 1);
            RC_ASSERT(it->answers[0].at <= it->deadline);
            checkAnswer(it->request, it->answers[0].answer);
            const auto ran = it->answers[0].answer.outcome != Outcome::notRun;
            answered[wireKey(it->request)] += ran ? 1 : 0;
        }
        for (const auto& [key, runs] : cluster.agents.state().runs) {
            RC_ASSERT(runs <= 1);
            // Each run belongs to an attempt; if all attempts were answered "not run", one of those answers was false.
            RC_ASSERT(answered[key] > 0);
        }
    }

    TestCluster cluster { entryCount, agentCount };

private:
    static std::string wireKey(const ClientRequest& request) { return claimRowKey(request.workspace, request.key); }

    TestCluster::Entry& anyEntry() { return *cluster.entries[*rc::gen::inRange<std::size_t>(0, entryCount)]; }

    void send()
    {
        auto sent = std::make_unique<SentRequest>();
        const auto key = *rc::gen::inRange(0, 3);
        const auto body = *rc::gen::weightedElement<std::string>({ { 9, "one" }, { 1, "two" } });
        sent->request = nonIdempotentRequest(fmt::format("k{}", key), body);
        sent->request.timeout = *rc::gen::element<Duration>(5ms, 20ms, 1s, 10s);
        sent->deadline = cluster.timing.now() + sent->request.timeout;
        const auto entry = *rc::gen::inRange<std::size_t>(0, entryCount);
        cluster.submit(entry, sent->request, sent->answers);
        m_sent.push_back(std::move(sent));
    }

    void pause()
    {
        const auto steps = *rc::gen::inRange(1, 8);
        for (int i = 0; i < steps; ++i)
            cluster.step();
    }

    void checkAnswer(const ClientRequest& request, const ClientAnswer& answer)
    {
        if (answer.outcome == Outcome::done) {
            RC_ASSERT(answer.body == fmt::format("answer to {} {}", wireKey(request), request.body));
            return;
        }
        RC_ASSERT((answer.status == 422 || answer.retryAfter.has_value()));
    }

    std::vector<std::unique_ptr<SentRequest>> m_sent;
};

}

// Guards against a second run, a false "not run", an answer to another request, and a late or missing answer, when
// clients retry through several entries while agents restart, messages and table responses are lost and the table
// fails.
TEST_CASE("non-idempotent requests keep their guarantees under failures")
{
    CHECK(rc::check([] {
        // Uses long sequences from the first case on, because most faults take effect only after several operations.
        const auto operations = *rc::gen::resize(300, rc::gen::arbitrary<std::vector<std::uint8_t>>());
        RequestSimulation simulation;
        for (const auto it : operations)
            simulation.applyOperation(it);
        simulation.finishAll();
        simulation.check();
    }));
}
