#pragma once

#include "lycheespool/placement/planner.h"

#include <string>

namespace lycheespool {

/*! @brief Returns the key of the row to which a domain's leader writes its report, so that all entries can show it. */
[[nodiscard]] std::string leaderReportKey(const std::string& domain);

/**
 * @brief Describes the state of a planner for operators.
 * @param planner The planner.
 * @param leader Name of the leader.
 * @param epoch Epoch of the leader.
 * @return JSON text: leader, epoch, guarantees that exceed the capacity, quarantined workers, jobs by state,
 * fragmentation.
 */
[[nodiscard]] std::string describeLeader(Planner& planner, const EntryId& leader, Epoch epoch);

}
