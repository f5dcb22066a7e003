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

struct EditAttempt {
    Edit edit;
    std::optional<EditResult> result;
};

struct Reader {
    explicit Reader(StepTable& table, const ManualClock& clock)
        : watcher { table, cache, metrics, clock }
    {
    }

    DocumentCache cache;
    Metrics metrics;
    DocumentWatcher<StepTable, ManualClock> watcher;
    Revision highestRevision;
};

/*! @brief Runs several editors and readers on one table through a random sequence of events. */
class Simulation {
public:
    explicit Simulation(std::uint32_t seed)
        : m_random { seed }
    {
        recordAcceptedTimes();
        for (int i = 0; i < 3; ++i)
            spawn(editRepeatedly());
        for (int i = 0; i < 2; ++i) {
            // Two concurrent polls, so that the reply to an older read can arrive after the reply to a newer one.
            auto& reader = m_readers.emplace_back(m_table, m_clock);
            spawn(readRepeatedly(reader));
            spawn(readRepeatedly(reader));
        }
    }

    void run()
    {
        runUntilBlocked();
        while (m_gate.size() > 0) {
            runRandomEvent();
            runUntilBlocked();
            recordAcceptedTimes();
            checkReaders();
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
    int randomBelow(int count) { return std::uniform_int_distribution<int> { 0, count - 1 }(m_random); }

    void spawn(Awaitable<> work)
    {
        ++m_clients;
        asio::co_spawn(m_io, std::move(work), [this](const std::exception_ptr& failure) {
            ++m_finishedClients;
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
            const auto section = randomBelow(3) == 0 ? beta : alpha;
            auto stored = co_await store.read();
            const auto text = workspaceText(section, static_cast<unsigned>(randomBelow(1000)));
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
            // The table was unavailable while the editor read the document.
            ++m_failedReads;
        }
    }

    Awaitable<> readRepeatedly(Reader& reader)
    {
        for (int i = 0; i < 12; ++i) {
            try {
                static_cast<void>(co_await reader.watcher.poll());
            } catch (const Error&) {
                ++m_failedReads;
            }
        }
    }

    void runRandomEvent()
    {
        const auto kind = randomBelow(100);
        if (kind < 4)
            m_isTableDown = !m_isTableDown;
        else if (kind < 20)
            m_clock.advance(std::chrono::milliseconds { randomBelow(900) });
        else if (kind < 25)
            deliverDelayed();
        else
            m_gate.release(nextWaiter(), randomFault());
    }

    /*! @brief Usually returns the client that ran last, so that others fall far behind. */
    std::size_t nextWaiter()
    {
        const auto count = static_cast<int>(m_gate.size());
        return static_cast<std::size_t>(randomBelow(4) == 0 ? randomBelow(count) : count - 1);
    }

    Fault randomFault()
    {
        if (m_isTableDown)
            return Fault::unavailable;
        const auto kind = randomBelow(100);
        if (kind < 1)
            return Fault::crash;
        if (kind < 15)
            return Fault::replyLost;
        return kind < 25 ? Fault::writeDelayed : Fault::none;
    }

    void deliverDelayed()
    {
        if (m_gate.delayed.empty())
            return;
        m_sample.rows.commit(m_gate.delayed.back());
        m_gate.delayed.pop_back();
    }

    void runUntilBlocked()
    {
        while (m_gate.size() + m_finishedClients < m_clients)
            m_io.run_one();
    }

    void recordAcceptedTimes()
    {
        const auto rows = m_sample.rows.list(DocumentKeys::history);
        while (m_acceptedAt.size() < rows.size())
            m_acceptedAt.push_back(m_clock.now());
    }

    void checkReaders()
    {
        for (auto& it : m_readers) {
            const auto state = it.cache.state();
            RC_ASSERT(state->head.revision >= it.highestRevision);
            it.highestRevision = state->head.revision;
            if (!state->isFresh(m_clock.now()))
                continue;
            for (std::size_t i = state->head.revision.value(); i < m_acceptedAt.size(); ++i)
                RC_ASSERT(m_clock.now() - m_acceptedAt[i] <= 2s);
        }
    }

    static void checkAttempt(const EditAttempt& attempt, const std::map<EditToken, HistoryRecord>& byToken)
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
            checkConflict(attempt, byToken);
    }

    /*! @brief Checks that exactly one accepted edit of the section has the same base as an edit in conflict. */
    static void checkConflict(const EditAttempt& attempt, const std::map<EditToken, HistoryRecord>& byToken)
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
    std::list<EditAttempt> m_attempts;
    std::list<Reader> m_readers;
    std::vector<TimePoint> m_acceptedAt;
    std::size_t m_clients { 0 };
    std::size_t m_finishedClients { 0 };
    std::size_t m_failedReads { 0 };
    std::size_t m_crashes { 0 };
    bool m_isTableDown { false };
    asio::io_context m_io;
};

}

// Guards against edits that are lost, applied twice or applied after a rejection, against two accepted edits of one
// base, and against readers that return to an older document or treat an outdated one as fresh.
TEST_CASE("random interleavings with crashes, lost replies and outages keep the document consistent")
{
    CHECK(rc::check([] {
        Simulation simulation { *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()) };
        simulation.run();
        simulation.checkHistory();
    }));
}
