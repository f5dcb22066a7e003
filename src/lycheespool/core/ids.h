#pragma once

#include "lycheespool/core/strong.h"

#include <cstdint>
#include <string>

namespace lycheespool {

/*! @brief Names an agent, and by it the endpoint beside it. */
using AgentId = Strong<struct AgentTag, std::string>;
/*! @brief Names an entry process. */
using EntryId = Strong<struct EntryTag, std::string>;
/*! @brief Names a worker. */
using WorkerId = Strong<struct WorkerTag, std::string>;
/*! @brief Names an executor. */
using ExecutorId = Strong<struct ExecutorTag, std::string>;
/*! @brief Names an availability zone. */
using ZoneId = Strong<struct ZoneTag, std::string>;
/*! @brief Names a rack inside an availability zone. */
using RackId = Strong<struct RackTag, std::string>;
/*! @brief Names a workspace. */
using WorkspaceId = Strong<struct WorkspaceTag, std::string>;
/*! @brief Names a job. */
using JobId = Strong<struct JobTag, std::string>;
/*! @brief Idempotency key that a caller chooses for a request. */
using RequestKey = Strong<struct RequestKeyTag, std::string>;

/*! @brief Fencing number of a leader; grows with every change of the leader. */
using Epoch = Strong<struct EpochTag, std::uint64_t>;
/*! @brief Distinguishes the runs of one process; drawn at random when it starts. */
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
/*! @brief Revision of the document or of one of its sections. */
using Revision = Strong<struct RevisionTag, std::uint64_t>;
/*! @brief Number of the run of a gang; grows with every restart. */
using Attempt = Strong<struct AttemptTag, std::uint64_t>;

}
