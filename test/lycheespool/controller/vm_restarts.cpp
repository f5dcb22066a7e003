// Runs whose VMs lose power while the leader changes: what counts against their task.
#include "lycheespool/controller/controller_fixture.h"

#include <optional>

using namespace lycheespool;

namespace {

/*! @brief Starts a task again and again on VMs that restart 3 s later, each time reported to a new leader. */
class RestartFixture : public ControllerFixture {
public:
    RestartFixture()
        : m_leader { &controller }
    {
        controller.addJob("job", job(), {}, 0, at(0).steady);
    }

    /*! @brief Plays rounds until the job has ended; the run is listed after a time, or not at all. */
    void play(int rounds, std::optional<std::int64_t> listedAfterMs)
    {
        for (int i = 0; i < rounds && !isEnded(progress().state); ++i) {
            const std::int64_t ms = 1000 + i * 10000;
            auto report = this->report(ms, "node-" + std::to_string(i));
            m_leader->onReport(report, at(ms));
            (void)m_leader->plan(at(ms));
            store();
            const auto orders = m_leader->takeOrders(at(ms)).at(report.node);
            const auto& order = orders.orders.at(0);
            m_leader->onOutcome(report.node, orders.lifetime,
                { order.task, order.run, RunOrderResult::started, {}, static_cast<std::uint64_t>(ms) }, at(ms));
            if (listedAfterMs) {
                report.listedAtMs = static_cast<std::uint64_t>(ms + *listedAfterMs);
                report.running = { { order.task, order.run, {}, 10 } };
                m_leader->onReport(report, at(ms + *listedAfterMs));
                store();
            }
            takeOver(ms + 2500);
            auto restarted = this->report(ms + 3000, report.node);
            restarted.lifetime.startedUnixMs = ms + 2900;
            m_leader->onReport(restarted, at(ms + 3000));
            // The node takes no part in later rounds.
            restarted.state = ExecutorState::draining;
            m_leader->onReport(restarted, at(ms + 3001));
            store();
        }
    }

    [[nodiscard]] const JobProgress& progress() const { return m_leader->jobs().at("job").progress; }

private:
    void takeOver(std::int64_t ms)
    {
        m_successor.emplace(ControllerSettings {}, Epoch { ++m_epoch }, at(ms).steady, metrics);
        m_successor->setConfig(std::make_shared<const OperatorConfig>());
        m_successor->addJob("job", job(), m_stored, ++version, at(ms).steady);
        m_leader = &*m_successor;
    }

    void store()
    {
        for (const auto& it : m_leader->pendingWrites(100)) {
            m_stored = it.value;
            m_leader->markStored(it, ++version);
        }
    }

    Controller* m_leader;
    std::optional<Controller> m_successor;
    std::string m_stored;
    std::uint64_t m_epoch { 1 };
};

}

// Guards against a sound job that is shown as failed after power failures that also took its leaders (LOST).
TEST_CASE("a task that was at work before its VMs lost power is repeated, whoever leads")
{
    RestartFixture f;
    f.play(8, 1000);
    CHECK(f.progress().at({ 0, 0, 0 }).lastRun == 8);
    CHECK(f.progress().at({ 0, 0, 0 }).losses == 0);
    CHECK(f.progress().state == WorkloadState::running);
}

// Guards against work without a limit that takes down its VM as it starts (BUDGET).
TEST_CASE("a task that was never seen at work is given up after five losses, whoever leads")
{
    for (const auto listedAfterMs : { std::optional<std::int64_t> {}, std::optional<std::int64_t> { 200 } }) {
        RestartFixture f;
        f.play(8, listedAfterMs);
        CHECK(f.progress().at({ 0, 0, 0 }).lastRun == 5);
        CHECK(f.progress().state == WorkloadState::failed);
    }
}
