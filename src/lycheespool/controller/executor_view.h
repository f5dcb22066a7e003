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

/*! @brief What the leader knows about one node and the executor on it. */
struct ExecutorView {
    /*! @brief An end that waits for the storage of its job. */
    struct PendingEnd {
        std::uint64_t number { 0 };
        std::string job;
        std::uint64_t revision { 0 };
    };

    /*! @brief A run that the executor reports and the leader did not order. */
    struct Stray {
        ResourceVector charged;
        /*! @brief When the newest stop was sent. */
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
    TimePoint heardAt {};
    /*! @brief While draining: the executor stays at least until then; nothing when it does not say. */
    std::optional<TimePoint> staysUntil;
    /*! @brief Every permit that the agent got has run out after this. */
    TimePoint permitsEndAt {};
    /*! @brief The permits ran out without contact, so nothing runs there. */
    bool isLost { false };
    /*! @brief Agent's clock when it sent the newest report, ms. */
    std::uint64_t newestReportMs { 0 };
    /*! @brief Agent's clock when it asked the executor for the newest lists, ms; 0 for none. */
    std::uint64_t listedAtMs { 0 };
    std::uint64_t endsApplied { 0 };
    std::uint64_t endsStored { 0 };
    std::deque<PendingEnd> pendingEnds;
    std::map<RunKey, Stray> strays;
    /*! @brief Jobs that failed here since the last success, unless they failed elsewhere too. */
    std::set<std::string> failedJobs;
    std::size_t failuresInARow { 0 };
    TimePoint failedAt {};
    TimePoint suspectUntil {};
};

}
