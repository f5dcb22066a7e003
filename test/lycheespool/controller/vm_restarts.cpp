// Runs that end because VMs restart: what counts against their jobs.
#include "lycheespool/controller/controller_fixture.h"

#include <optional>

using namespace lycheespool;

namespace {

/*! @brief Starts two jobs again and again, each on a VM of its own, and restarts both VMs 3 s later. */
class RestartFixture : public ControllerFixture {
public:
    /*! @brief Which of the two VMs reports first after the restart. */
    enum class First { job, other };

    RestartFixture()
        : m_leader { &controller }
    {
        controller.addJob("job", rowFor("job"), {}, 0, at(0).steady);
        controller.addJob("other", rowFor("other"), {}, 0, at(0).steady);
    }

    /**
     * @brief Plays rounds of starts and restarts until the job has ended.
     * @param rounds Number of rounds.
     * @param first VM that reports first.
     * @param changesLeader Whether a successor leads before each restart.
     * @param apartMs Time between the restarts of the two VMs, ms.
     * @param isWitnessed Whether only the executor of the job crashes, and its agent sees it.
     */
    void play(int rounds, First first, bool changesLeader, std::int64_t apartMs, bool isWitnessed = false)
    {
        for (int i = 0; i < rounds && !isEnded(progress().state); ++i) {
            const std::int64_t ms = 1000 + i * 10000;
            const auto suffix = "-" + std::to_string(i);
            for (const std::string name : { "job", "other" })
                m_leader->onReport(reportOf(name, name + suffix, ms, ms - 900), at(ms));
            (void)m_leader->plan(at(ms));
            store();
            for (const auto& [node, orders] : m_leader->takeOrders(at(ms))) {
                for (const auto& it : orders.orders)
                    m_leader->onOutcome(node, orders.lifetime,
                        { it.task, it.run, RunOrderResult::started, {}, static_cast<std::uint64_t>(ms) }, at(ms));
            }
            if (changesLeader)
                takeOver(ms + 2500);
            const auto restart = [&](const std::string& name, std::int64_t startedMs, bool hasAgent) {
                auto it = reportOf(name, name + suffix, startedMs + 300, startedMs);
                // A draining executor takes part in no other round.
                it.state = ExecutorState::draining;
                if (hasAgent) {
                    it.previousLifetime = reportOf(name, name + suffix, ms, ms - 900).lifetime;
                    it.previousLostAtMs = static_cast<std::uint64_t>(ms + 20);
                }
                m_leader->onReport(it, at(startedMs + 300));
            };
            if (first == First::other)
                restart("other", ms + 3000, false);
            restart("job", ms + 3000 + apartMs, isWitnessed);
            if (first == First::job)
                restart("other", ms + 3000, false);
            store();
        }
    }

    [[nodiscard]] const JobProgress& progress() const { return m_leader->jobs().at("job").progress; }

private:
    /*! @brief A job whose task runs only on executors with its label. */
    static JobRow rowFor(const std::string& label)
    {
        auto row = job();
        row.request.steps[0].requiredLabel = label;
        return row;
    }

    [[nodiscard]] NodeReport reportOf(
        const std::string& label, const std::string& node, std::int64_t ms, std::int64_t startedMs) const
    {
        auto it = report(ms, node);
        it.labels = { label, "rack-0" };
        it.lifetime.startedUnixMs = startedMs;
        return it;
    }

    void takeOver(std::int64_t ms)
    {
        std::map<std::string, std::string> stored;
        for (const auto& [id, it] : m_leader->jobs())
            stored[id] = it.progress.encode("queue", "");
        m_successor.emplace(ControllerSettings {}, Epoch { ++m_epoch }, at(ms).steady, metrics);
        m_successor->setConfig(std::make_shared<const OperatorConfig>());
        for (const auto& [id, progress] : stored)
            m_successor->addJob(id, rowFor(id), progress, ++version, at(ms).steady);
        m_leader = &*m_successor;
    }

    void store()
    {
        for (const auto& it : m_leader->pendingWrites(100))
            m_leader->markStored(it, ++version);
    }

    Controller* m_leader;
    std::optional<Controller> m_successor;
    std::uint64_t m_epoch { 1 };
};

}

// Guards against a sound job that is shown as failed because its executors lost power with their zone (LOST).
TEST_CASE("a job whose VMs restart together with others is repeated, whoever leads and reports first")
{
    for (const auto first : { RestartFixture::First::job, RestartFixture::First::other }) {
        for (const bool changesLeader : { false, true }) {
            CAPTURE(changesLeader);
            RestartFixture f;
            f.play(8, first, changesLeader, 1000);
            CHECK(f.progress().at({ 0, 0, 0 }).lastRun == 8);
            CHECK(f.progress().at({ 0, 0, 0 }).losses == 0);
            CHECK_FALSE(isEnded(f.progress().state));
        }
    }
}

// Guards against work without a limit that takes down one VM after another (BUDGET).
TEST_CASE("a job is given up after five restarts of VMs that restart alone")
{
    RestartFixture f;
    f.play(8, RestartFixture::First::other, true, 4000);
    CHECK(f.progress().at({ 0, 0, 0 }).lastRun == 5);
    CHECK(f.progress().state == WorkloadState::failed);
}

// Guards against restarts elsewhere that excuse a crash which the agent saw (BUDGET).
TEST_CASE("a crash that the agent saw counts although another VM restarts at the same time")
{
    for (const auto first : { RestartFixture::First::job, RestartFixture::First::other }) {
        RestartFixture f;
        f.play(8, first, false, 0, true);
        CHECK(f.progress().at({ 0, 0, 0 }).lastRun == 2);
        CHECK(f.progress().state == WorkloadState::failed);
    }
}
