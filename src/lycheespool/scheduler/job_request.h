#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/scheduler/job_record.h"

#include <string>
#include <string_view>

namespace lycheespool {

/**
 * @brief Parses and validates a client's request for a job.
 *
 * Members: `tasks` (1 to 64), `cores`, `memoryMiB`, `accelerators` (each per task), `runTimeSeconds`, and optionally
 * `adjacency` (default zone), `urgency` (default normal), `kind` and `emulatedRunTimeSeconds`.
 *
 * @param workspace Workspace named by the client.
 * @param id Identifier of the new job.
 * @param submittedBy Identity of the submitter.
 * @param body JSON text.
 * @return Record of a queued job.
 * @throws Error of kind invalidArgument that names the member and its bounds.
 */
[[nodiscard]] JobRecord parseJobRequest(
    const WorkspaceId& workspace, const JobId& id, std::string submittedBy, std::string_view body);

/**
 * @brief Validates an identifier from a client, which becomes part of row keys and paths.
 * @param id The identifier.
 * @throws Error of kind invalidArgument unless it has 1 to 100 letters, digits, `.`, `_` and `-`.
 */
void requireJobId(const JobId& id);

/**
 * @brief Formats a job for a client.
 * @param record The job.
 * @return JSON text for `GET /v1/jobs/<id>`.
 */
[[nodiscard]] std::string describeJob(const JobRecord& record);

}
