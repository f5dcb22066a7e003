#pragma once

#include "lycheespool/placement/planner.h"

#include <string>

namespace lycheespool {

/*! @brief Row in which the leader of a domain reports what operators ask for, so that every entry can show it. */
[[nodiscard]] std::string leaderReportKey(const std::string& domain);

/**
 * @brief Describes the state of a planner for operators.
 * @param planner The planner.
 * @param leader Name of the leader.
 * @param epoch Epoch of the leader.
 * @return JSON text: leader, epoch, guarantees that the capacity cannot hold, quarantined workers, jobs by state,
 * fragmentation.
 */
[[nodiscard]] std::string describeLeader(Planner& planner, const EntryId& leader, Epoch epoch);

}
