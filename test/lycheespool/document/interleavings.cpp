#include "lycheespool/document/document_watcher.h"
#include "lycheespool/document/sample.h"
#include "lycheespool/document/step_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <list>
#include <map>
#include <random>

using namespace lycheespool;
using namespace lycheespool::test;
using namespace std::chrono_literals;

namespace {

struct Attempt {
    Edit edit;
    std::optional<EditResult> result;
};

struct Follower {
    explicit Follower(StepTable& table, const ManualClock& clock)
        : watcher { table, cache, metrics, clock }
    {
    }

    DocumentCache cache;
    Metrics metrics;
    DocumentWatcher<StepTable, ManualClock> watcher;
    Revision highest;
};

/*! @brief Several editors and readers on one table, driven step by step by a random sequence of events. */
class Simulation {
public:
    explicit Simulation(std::uint32_t seed)
        : m_random { seed }
    {
        noteAccepted();
        for (int i = 0; i < 3; ++i)
            spawn(editRepeatedly());
        for (int i = 0; i < 2; ++i) {
            // Two polls at a time, so that the answer of an older read can arrive after that of a newer one.
            auto& follower = m_followers.emplace_back(m_table, m_clock);
            spawn(follow(follower));
            spawn(follow(follower));
        }
    }

    void run()
    {
        settle();
        while (m_gate.size() > 0) {
            event();
            settle();
            noteAccepted();
            checkFollowers();
        }
        for (const auto& it : m_gate.delayed)
            m_sample.rows.commit(it);
    }

    void checkHistory()
    {
        std::map<EditToken, HistoryRecord> byToken;
        std::map<SectionId, Revision> last;
        std::uint64_t revision = 0;
        for (const auto& row : m_sample.rows.list(DocumentKeys::history)) {
            const auto record = RecordCodec::decodeHistory(row.value);
            RC_ASSERT(record.section.revision.value() == ++revision);
            RC_ASSERT(record.previous == std::exchange(last[record.section.content.section], Revision { revision }));
            RC_ASSERT(byToken.emplace(record.section.token, record).second);
        }
        RC_ASSERT(m_sample.count(DocumentKeys::audit) == revision);
        const auto stored = lycheespool::test::run(m_sample.store.read());
        RC_ASSERT(stored.head.revision.value() == revision);
        for (const auto& it : m_attempts)
            checkAttempt(it, byToken);
    }

private:
    int pick(int count) { return std::uniform_int_distribution<int> { 0, count - 1 }(m_random); }

    void spawn(Awaitable<> work)
    {
        ++m_clients;
        asio::co_spawn(m_io, std::move(work), [this](const std::exception_ptr& failure) {
            ++m_done;
            try {
                if (failure)
                    std::rethrow_exception(failure);
            } catch (const Crash&) {
                ++m_crashes;
            }
        });
    }

    Awaitable<> editRepeatedly()
    {
        DocumentStore<StepTable> store { m_table, EntryId { "entry" }, EditPolicy {} };
        for (int i = 0; i < 5; ++i)
            co_await editOnce(store);
    }

    Awaitable<> editOnce(DocumentStore<StepTable>& store)
    {
        try {
            const auto section = pick(3) == 0 ? beta : alpha;
            auto stored = co_await store.read();
            const auto text = workspaceText(section, static_cast<unsigned>(pick(1000)));
            auto& attempt = m_attempts.emplace_back();
            attempt.edit = newEdit(section, stored.find(section).record.revision, text);
            auto edit = attempt.edit;
            auto result = co_await store.apply(std::move(edit));
            if (result.status == EditStatus::outcomeUnknown) {
                auto ticket = result.ticket;
                result = co_await store.outcome(std::move(ticket));
            }
            attempt.result = std::move(result);
        } catch (const Error&) {
            // The table was down while the editor read the document.
            ++m_failedReads;
        }
    }

    Awaitable<> follow(Follower& follower)
    {
        for (int i = 0; i < 12; ++i) {
            try {
                static_cast<void>(co_await follower.watcher.poll());
            } catch (const Error&) {
                ++m_failedReads;
            }
        }
    }

    void event()
    {
        const auto kind = pick(100);
        if (kind < 4)
            m_isDown = !m_isDown;
        else if (kind < 20)
            m_clock.advance(std::chrono::milliseconds { pick(900) });
        else if (kind < 25)
            deliverDelayed();
        else
            m_gate.release(nextWaiter(), fault());
    }

    /*! @brief Often continues with the client that ran last, so that others fall far behind. */
    std::size_t nextWaiter()
    {
        const auto count = static_cast<int>(m_gate.size());
        return static_cast<std::size_t>(pick(4) == 0 ? pick(count) : count - 1);
    }

    Fault fault()
    {
        if (m_isDown)
            return Fault::unavailable;
        const auto kind = pick(100);
        if (kind < 1)
            return Fault::crash;
        if (kind < 15)
            return Fault::answerLost;
        return kind < 25 ? Fault::writeDelayed : Fault::none;
    }

    void deliverDelayed()
    {
        if (m_gate.delayed.empty())
            return;
        m_sample.rows.commit(m_gate.delayed.back());
        m_gate.delayed.pop_back();
    }

    void settle()
    {
        while (m_gate.size() + m_done < m_clients)
            m_io.run_one();
    }

    void noteAccepted()
    {
        const auto rows = m_sample.rows.list(DocumentKeys::history);
        while (m_acceptedAt.size() < rows.size())
            m_acceptedAt.push_back(m_clock.now());
    }

    void checkFollowers()
    {
        for (auto& it : m_followers) {
            const auto state = it.cache.state();
            RC_ASSERT(state->head.revision >= it.highest);
            it.highest = state->head.revision;
            if (!state->isFresh(m_clock.now()))
                continue;
            for (std::size_t i = state->head.revision.value(); i < m_acceptedAt.size(); ++i)
                RC_ASSERT(m_clock.now() - m_acceptedAt[i] <= 2s);
        }
    }

    static void checkAttempt(const Attempt& attempt, const std::map<EditToken, HistoryRecord>& byToken)
    {
        const auto it = byToken.find(attempt.edit.token);
        const bool isInHistory = it != byToken.end();
        if (isInHistory) {
            RC_ASSERT(it->second.previous == attempt.edit.base);
            RC_ASSERT(it->second.section.content.text == attempt.edit.text);
        }
        if (!attempt.result || attempt.result->status == EditStatus::outcomeUnknown)
            return;
        RC_ASSERT(isInHistory == (attempt.result->status == EditStatus::accepted));
        if (isInHistory)
            RC_ASSERT(attempt.result->revision == it->second.section.revision);
        if (attempt.result->status == EditStatus::conflict)
            checkLostRace(attempt, byToken);
    }

    /*! @brief An edit in conflict lost against exactly one edit of the same base; history rules out a second one. */
    static void checkLostRace(const Attempt& attempt, const std::map<EditToken, HistoryRecord>& byToken)
    {
        RC_ASSERT(std::ranges::count_if(byToken, [&](const auto& it) {
            const auto& record = it.second;
            return record.section.content.section == attempt.edit.section && record.previous == attempt.edit.base;
        }) == 1);
    }

    std::mt19937 m_random;
    Sample m_sample;
    ManualClock m_clock;
    StepGate m_gate;
    StepTable m_table { m_sample.rows, m_gate };
    std::list<Attempt> m_attempts;
    std::list<Follower> m_followers;
    std::vector<TimePoint> m_acceptedAt;
    std::size_t m_clients { 0 };
    std::size_t m_done { 0 };
    std::size_t m_failedReads { 0 };
    std::size_t m_crashes { 0 };
    bool m_isDown { false };
    asio::io_context m_io;
};

}

// Guards against edits that are lost, applied twice or applied after a refusal, against two winners of a race, and
// against readers that go back to an older document or call an outdated one fresh.
TEST_CASE("random interleavings with crashes, lost answers and outages keep the document consistent")
{
    CHECK(rc::check([] {
        Simulation simulation { *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()) };
        simulation.run();
        simulation.checkHistory();
    }));
}
