#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/wire/adaptors.h"
#include "lycheespool/wire/message_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Kind of the endpoint beside an agent. */
enum class EndpointKind : std::uint8_t { executor, worker };

/*! @brief How recent the receiver's knowledge of the document is. */
struct Freshness {
    Revision revision;
    std::uint64_t ageMs { 0 };
    std::vector<ZoneId> zonesOut;
    /*! @brief Digest of all sections; equal revisions with different digests are an error. */
    std::uint64_t digest { 0 };
    MSGPACK_DEFINE(revision, ageMs, zonesOut, digest)
};

/*! @brief State of one task, as its agent reports it. */
struct TaskReport {
    JobId job;
    Attempt attempt;
    std::uint32_t task { 0 };
    std::string state;
    std::string detail;
    /*! @brief Work done so far, in milliseconds of run time at full speed. */
    std::uint64_t progressMs { 0 };
    /*! @brief Work that the last checkpoint saved. */
    std::uint64_t checkpointMs { 0 };
    MSGPACK_DEFINE(job, attempt, task, state, detail, progressMs, checkpointMs)
};

/*! @brief First message of an agent: announces its endpoint. */
struct Hello {
    static constexpr auto type = MessageType::hello;

    AgentId agent;
    Incarnation incarnation;
    EndpointKind kind { EndpointKind::executor };
    ZoneId zone;
    RackId rack;
    std::uint32_t cores { 0 };
    std::uint32_t memoryMiB { 0 };
    std::uint32_t accelerators { 0 };
    std::uint32_t slots { 0 };
    MSGPACK_DEFINE(agent, incarnation, kind, zone, rack, cores, memoryMiB, accelerators, slots)
};

/*! @brief Answer to Hello. */
struct HelloReply {
    static constexpr auto type = MessageType::helloReply;

    EntryId entry;
    std::vector<std::string> entries;
    Epoch epoch;
    Freshness freshness;
    /*! @brief As in HeartbeatReply. */
    bool renewsLeases { true };
    MSGPACK_DEFINE(entry, entries, epoch, freshness, renewsLeases)
};

/*! @brief Periodic report of an agent; renews the leases of all its tasks. */
struct Heartbeat {
    static constexpr auto type = MessageType::heartbeat;

    Incarnation incarnation;
    std::uint64_t sequence { 0 };
    std::uint32_t slotsFree { 0 };
    bool draining { false };
    std::vector<TaskReport> tasks;
    /*! @brief Whether tasks lists every task of the worker, so that a task that is absent does not run. */
    bool complete { false };
    /*! @brief Digest of the list of entries that the agent knows, 0 for none. */
    std::uint64_t entriesDigest { 0 };
    MSGPACK_DEFINE(incarnation, sequence, slotsFree, draining, tasks, complete, entriesDigest)
};

/*! @brief Answer to Heartbeat. */
struct HeartbeatReply {
    static constexpr auto type = MessageType::heartbeatReply;

    Epoch epoch;
    Freshness freshness;
    std::vector<std::string> entries;
    /*! @brief False when another entry leads: leases follow the heartbeats that the leader hears itself. */
    bool renewsLeases { true };
    /*! @brief Digest of the present list; `entries` is empty when the agent knows it already. */
    std::uint64_t entriesDigest { 0 };
    MSGPACK_DEFINE(epoch, freshness, entries, renewsLeases, entriesDigest)
};

/*! @brief A caller's request on its way to an executor. */
struct Execute {
    static constexpr auto type = MessageType::execute;

    std::uint64_t request { 0 };
    Incarnation incarnation;
    bool idempotent { true };
    std::uint64_t deadlineMs { 0 };
    std::string key;
    std::string body;
    MSGPACK_DEFINE(request, incarnation, idempotent, deadlineMs, key, body)
};

/*! @brief Outcome of a request. */
enum class Outcome : std::uint8_t {
    done,
    notRun,
    unknown,
};

/*! @brief Answer to Execute. */
struct ExecuteReply {
    static constexpr auto type = MessageType::executeReply;

    std::uint64_t request { 0 };
    Incarnation incarnation;
    Outcome outcome { Outcome::unknown };
    std::uint32_t status { 0 };
    std::uint32_t slotsFree { 0 };
    std::string body;
    MSGPACK_DEFINE(request, incarnation, outcome, status, slotsFree, body)
};

/*! @brief Operation that a leader requests for an agent's part of a gang. */
enum class OrderKind : std::uint8_t {
    reserve,
    start,
    release,
    checkpoint,
    throttle,
    stop,
};

/*! @brief Order of a leader to one agent. */
struct Order {
    static constexpr auto type = MessageType::order;

    Epoch epoch;
    Incarnation incarnation;
    OrderKind kind { OrderKind::reserve };
    JobId job;
    Attempt attempt;
    std::vector<std::uint32_t> tasks;
    std::uint32_t coresPerTask { 0 };
    std::uint32_t memoryMiBPerTask { 0 };
    std::uint32_t acceleratorsPerTask { 0 };
    std::uint64_t runTimeMs { 0 };
    Revision revision;
    /*! @brief Work that the tasks resume from when they start, in milliseconds of run time at full speed. */
    std::uint64_t progressMs { 0 };
    /*! @brief New speed for throttle, in percent of full speed. */
    std::uint32_t speedPercent { 100 };
    MSGPACK_DEFINE(epoch, incarnation, kind, job, attempt, tasks, coresPerTask, memoryMiBPerTask, acceleratorsPerTask,
        runTimeMs, revision, progressMs, speedPercent)
};

/*! @brief Answer to Order. */
struct OrderReply {
    static constexpr auto type = MessageType::orderReply;

    bool accepted { false };
    std::string reason;
    /*! @brief Answer to checkpoint: least progress that is saved for the tasks of the order. */
    std::uint64_t progressMs { 0 };
    MSGPACK_DEFINE(accepted, reason, progressMs)
};

/*! @brief The endpoint leaves and takes no new work. */
struct Goodbye {
    static constexpr auto type = MessageType::goodbye;

    Incarnation incarnation;
    MSGPACK_DEFINE(incarnation)
};

/*! @brief Answer to Goodbye. */
struct GoodbyeReply {
    static constexpr auto type = MessageType::goodbyeReply;

    bool known { false };
    MSGPACK_DEFINE(known)
};

/*! @brief An agent's knowledge about a non-idempotent request of its current incarnation. */
enum class ExecutionState : std::uint8_t {
    /*! @brief The executor has the request and has not answered yet. */
    running,
    /*! @brief The executor answered; the answer is in the reply. */
    done,
    /*! @brief The agent cannot tell: another incarnation, an answer it dropped, or no room for a tombstone. */
    notSeen,
    /*! @brief The request did not run, and this incarnation never runs it any more. */
    tombstoned,
};

/*! @brief Asks an agent what became of a request; a request that it never saw is tombstoned. */
struct Inquire {
    static constexpr auto type = MessageType::inquire;

    std::string key;
    Incarnation incarnation;
    MSGPACK_DEFINE(key, incarnation)
};

/*! @brief Answer to Inquire. */
struct InquireReply {
    static constexpr auto type = MessageType::inquireReply;

    Incarnation incarnation;
    ExecutionState state { ExecutionState::notSeen };
    std::uint32_t status { 0 };
    std::string body;
    MSGPACK_DEFINE(incarnation, state, status, body)
};

}

MSGPACK_ADD_ENUM(lycheespool::EndpointKind);
MSGPACK_ADD_ENUM(lycheespool::Outcome);
MSGPACK_ADD_ENUM(lycheespool::OrderKind);
MSGPACK_ADD_ENUM(lycheespool::ExecutionState);
