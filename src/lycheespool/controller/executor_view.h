#pragma once

#include "lycheespool/controller/live_run.h"
#include "lycheespool/wire/node_messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace lycheespool {

/*! @brief The leader's state of one node and its executor. */
struct ExecutorView {
    /*! @brief A run end that is acknowledged once the progress of its job is stored. */
    struct PendingEnd {
        std::uint64_t number { 0 };
        std::string job;
        std::uint64_t revision { 0 };
    };

    /*! @brief A run that the executor reports and the leader does not know. */
    struct UnknownRun {
        ResourceVector charged;
        /*! @brief When the latest stop order was sent. */
        TimePoint orderedAt { neverOrdered };
    };

    std::string node;
    std::string zone;
    std::string rack;
    ExecutorState state { ExecutorState::absent };
    Lifetime lifetime;
    std::string service;
    std::vector<std::string> labels;
    ResourceVector capacity;
    TimePoint lastReportAt {};
    /*! @brief While draining: earliest departure of the executor; nothing if it has not announced one. */
    std::optional<TimePoint> earliestDeparture;
    /*! @brief Time after which all permits granted to the agent have expired. */
    TimePoint permitsExpireAt {};
    /*! @brief Lifetime that the latest ignored report named. */
    Lifetime ignoredLifetime;
    /*! @brief False while the executor does not answer its agent, which then sends it no start. */
    bool isResponding { true };
    /*! @brief The permits expired without contact, so no run is left on the node. */
    bool isLost { false };
    /*! @brief Runs that may have begun and were released when the permits expired; their losses count if the agent
     * reports that their lifetime has ended. */
    std::set<RunKey> expiredRuns;
    /*! @brief Agent's clock when it sent the latest report, ms. */
    std::uint64_t newestReportMs { 0 };
    /*! @brief Agent's clock when it requested the latest lists from the executor, ms; 0 for none. */
    std::uint64_t listedAtMs { 0 };
    std::uint64_t endsApplied { 0 };
    std::uint64_t endsStored { 0 };
    std::deque<PendingEnd> pendingEnds;
    std::map<RunKey, UnknownRun> unknownRuns;
    /*! @brief Jobs that failed on this node since its last success; cleared when a job is suspected instead. */
    std::set<std::string> failedJobs;
    std::size_t failuresInARow { 0 };
    TimePoint failedAt {};
    /*! @brief When the latest run that ended as done was reported; nothing if none was in this term. */
    std::optional<TimePoint> succeededAt;
    /*! @brief Start of the newest run that worked for the trial time; nothing if none did in this term. */
    std::optional<TimePoint> provenAt;
    /*! @brief Earliest time of the next probe while the executor is suspected. */
    TimePoint nextProbeAt {};
    /*! @brief Delay before the next probe; zero before the executor is suspected. */
    Duration probeDelay {};
    TimePoint suspectedUntil {};
};

}
