#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/request/key_filter.h"
#include "lycheespool/request/ledger_decision.h"
#include "lycheespool/request/ledger_limits.h"
#include "lycheespool/wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace lycheespool {

/**
 * @brief An agent's memory of the non-idempotent requests of its present incarnation.
 *
 * Pure state of one thread. A key is refused once it runs, ran or is tombstoned. Old keys are dropped within the
 * limits; the filter remembers that they were there, so that they are never tombstoned as "did not run".
 */
class ExecutionLedger {
public:
    /**
     * @brief Makes an empty ledger.
     * @param incarnation Incarnation of the agent.
     * @param limits Bounds.
     */
    explicit ExecutionLedger(Incarnation incarnation, LedgerLimits limits = {});

    /**
     * @brief Decides on a request that arrived, and records that it runs if it does.
     * @param key Key in the message.
     * @param now Present time.
     * @return Whether to run it, or the reply.
     */
    [[nodiscard]] LedgerDecision begin(const std::string& key, TimePoint now);

    /**
     * @brief Records the executor's answer.
     * @param key Key of a running request.
     * @param status Status of the answer.
     * @param body Body of the answer.
     * @param now Present time.
     */
    void finish(const std::string& key, unsigned status, std::string body, TimePoint now);

    /**
     * @brief Records that the executor certainly did not get the request, so that it may be sent again.
     * @param key Key of a running request.
     */
    void release(const std::string& key);

    /**
     * @brief Records that the executor may have run the request but no complete answer came.
     * @param key Key of a running request.
     * @param now Present time.
     */
    void abandon(const std::string& key, TimePoint now);

    /**
     * @brief Answers an entry's question; a key that certainly did not run gets a tombstone.
     * @param inquiry The question.
     * @param now Present time.
     * @return The reply.
     */
    [[nodiscard]] InquireReply inquire(const Inquire& inquiry, TimePoint now);

    /**
     * @brief Counts the keys that run or are kept.
     * @return Number of keys, without tombstones.
     */
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

    /**
     * @brief Measures the kept answers.
     * @return Size in bytes.
     */
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

private:
    enum class State : std::uint8_t { running, done, lost };

    struct Entry {
        State state { State::running };
        unsigned status { 0 };
        std::string body;
        TimePoint finished;
    };

    void settle(const std::string& key, State state, unsigned status, std::string body, TimePoint now);
    void expire(TimePoint now);
    void dropOldest();
    [[nodiscard]] static LedgerDecision decide(const Entry& entry);
    [[nodiscard]] bool placeTombstone(const std::string& key);

    Incarnation m_incarnation;
    LedgerLimits m_limits;
    std::unordered_map<std::string, Entry> m_entries;
    /*! @brief Keys that are done or lost, the oldest first. */
    std::deque<std::string> m_finished;
    std::size_t m_bytes { 0 };
    /*! @brief Hashes of tombstoned keys; a collision only refuses one more key as not run. */
    std::unordered_set<std::uint64_t> m_tombstones;
    KeyFilter m_dropped;
};

}
