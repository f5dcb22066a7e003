#include "lycheespool/request/execution_ledger.h"

#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lycheespool {

namespace {

constexpr unsigned serviceUnavailable = 503;

std::uint64_t hashOf(const std::string& key) { return XXH3_64bits(key.data(), key.size()); }

LedgerDecision refuse(Outcome outcome, std::string reason)
{
    LedgerDecision decision;
    decision.outcome = outcome;
    decision.status = serviceUnavailable;
    decision.body = std::move(reason);
    return decision;
}

}

ExecutionLedger::ExecutionLedger(Incarnation incarnation, LedgerLimits limits)
    : m_incarnation { incarnation }
    , m_limits { limits }
{
}

LedgerDecision ExecutionLedger::begin(const std::string& key, TimePoint now)
{
    expire(now);
    if (m_tombstones.contains(hashOf(key)))
        return refuse(Outcome::notRun, "this agent has already reported the request as not run");
    if (const auto it = m_entries.find(key); it != m_entries.end())
        return decide(it->second);
    if (m_entries.size() >= m_limits.keys && !m_finished.empty())
        dropOldest();
    if (m_entries.size() >= m_limits.keys)
        return refuse(Outcome::notRun, "too many requests are running");
    m_entries.try_emplace(key);
    LedgerDecision decision;
    decision.run = true;
    return decision;
}

LedgerDecision ExecutionLedger::decide(const Entry& entry)
{
    if (entry.state == State::running)
        return refuse(Outcome::unknown, "the request is already running");
    if (entry.state == State::lost)
        return refuse(Outcome::unknown, "the executor returned no complete answer to this request");
    LedgerDecision decision;
    decision.outcome = Outcome::done;
    decision.status = entry.status;
    decision.body = entry.body;
    return decision;
}

void ExecutionLedger::finish(const std::string& key, unsigned status, std::string body, TimePoint now)
{
    const bool fits = body.size() <= m_limits.bytes;
    recordOutcome(key, fits ? State::done : State::lost, status, fits ? std::move(body) : std::string {}, now);
}

void ExecutionLedger::abandon(const std::string& key, TimePoint now) { recordOutcome(key, State::lost, 0, {}, now); }

void ExecutionLedger::release(const std::string& key)
{
    const auto it = m_entries.find(key);
    if (it != m_entries.end() && it->second.state == State::running)
        m_entries.erase(it);
}

void ExecutionLedger::recordOutcome(
    const std::string& key, State state, unsigned status, std::string body, TimePoint now)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end() || it->second.state != State::running)
        return;
    m_bytes += body.size();
    it->second = { state, status, std::move(body), now };
    m_finished.push_back(key);
    expire(now);
}

void ExecutionLedger::expire(TimePoint now)
{
    while (!m_finished.empty()
        && (m_bytes > m_limits.bytes || now - m_entries.at(m_finished.front()).finished > m_limits.age))
        dropOldest();
}

void ExecutionLedger::dropOldest()
{
    const auto it = m_entries.find(m_finished.front());
    m_bytes -= it->second.body.size();
    m_droppedKeys.add(it->first);
    m_entries.erase(it);
    m_finished.pop_front();
}

InquireReply ExecutionLedger::inquire(const Inquire& inquiry, TimePoint now)
{
    expire(now);
    InquireReply reply;
    reply.incarnation = m_incarnation;
    if (inquiry.incarnation != m_incarnation)
        return reply;
    const auto it = m_entries.find(inquiry.key);
    if (it == m_entries.end()) {
        reply.state = placeTombstone(inquiry.key) ? ExecutionState::tombstoned : ExecutionState::notSeen;
        return reply;
    }
    if (it->second.state == State::running)
        reply.state = ExecutionState::running;
    if (it->second.state == State::done) {
        reply.state = ExecutionState::done;
        reply.status = it->second.status;
        reply.body = it->second.body;
    }
    return reply;
}

bool ExecutionLedger::placeTombstone(const std::string& key)
{
    const auto hash = hashOf(key);
    if (m_tombstones.contains(hash))
        return true;
    if (m_droppedKeys.mayContain(key) || m_tombstones.size() >= m_limits.tombstones)
        return false;
    m_tombstones.insert(hash);
    return true;
}

}
