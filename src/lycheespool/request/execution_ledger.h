#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/ids.h"
#include "lycheespool/request/bloom_filter.h"
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
 * @brief Record of the non-idempotent requests that the current incarnation of an agent received.
 *
 * State machine without I/O, for one thread. A key that runs, ran or is tombstoned is not run again. Old keys are
 * dropped to stay within the limits; the Bloom filter records them, so that they are never tombstoned as "did not run".
 */
class ExecutionLedger {
public:
    /**
     * @brief Constructs an empty ledger.
     * @param incarnation Incarnation of the agent.
     * @param limits Bounds.
     */
    explicit ExecutionLedger(Incarnation incarnation, LedgerLimits limits = {});

    /**
     * @brief Decides whether to run a received request, and if so records it as running.
     * @param key Key in the message.
     * @param now Current time.
     * @return The decision to run the request, or the reply.
     */
    [[nodiscard]] LedgerDecision begin(const std::string& key, TimePoint now);

    /**
     * @brief Records the executor's answer.
     * @param key Key of a running request.
     * @param status Status of the answer.
     * @param body Body of the answer.
     * @param now Current time.
     */
    void finish(const std::string& key, unsigned status, std::string body, TimePoint now);

    /**
     * @brief Records that the executor certainly did not receive the request, so that it may be sent again.
     * @param key Key of a running request.
     */
    void release(const std::string& key);

    /**
     * @brief Records that the executor may have run the request but returned no complete answer.
     * @param key Key of a running request.
     * @param now Current time.
     */
    void abandon(const std::string& key, TimePoint now);

    /**
     * @brief Answers an entry's inquiry; places a tombstone for a key that certainly did not run.
     * @param inquiry The inquiry.
     * @param now Current time.
     * @return The reply.
     */
    [[nodiscard]] InquireReply inquire(const Inquire& inquiry, TimePoint now);

    /**
     * @brief Counts the running and the finished keys.
     * @return Number of keys, without tombstones.
     */
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

    /**
     * @brief Returns the size of the stored answers.
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

    void recordOutcome(const std::string& key, State state, unsigned status, std::string body, TimePoint now);
    void expire(TimePoint now);
    void dropOldest();
    [[nodiscard]] static LedgerDecision decide(const Entry& entry);
    [[nodiscard]] bool placeTombstone(const std::string& key);

    Incarnation m_incarnation;
    LedgerLimits m_limits;
    std::unordered_map<std::string, Entry> m_entries;
    /*! @brief Keys in the state done or lost, the oldest first. */
    std::deque<std::string> m_finished;
    std::size_t m_bytes { 0 };
    /*! @brief Hashes of tombstoned keys; a collision only causes one more key to be refused as not run. */
    std::unordered_set<std::uint64_t> m_tombstones;
    BloomFilter m_droppedKeys;
};

}
