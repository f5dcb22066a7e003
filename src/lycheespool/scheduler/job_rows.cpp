#include "lycheespool/scheduler/job_rows.h"

#include "lycheespool/core/error.h"

#include <fmt/format.h>

namespace lycheespool {

JobId JobRows::idOf(const Row& row) { return JobId { row.key.substr(row.key.find('/') + 1) }; }

Transaction JobRows::submit(const JobRecord& record)
{
    const auto& id = record.spec.id;
    return { { { jobKey(id), 0 } }, { { jobKey(id), record.encode() }, { inboxKey(id), "submit" } } };
}

Transaction JobRows::cancel(const Row& row)
{
    if (!row.exists())
        throw Error { ErrorKind::notFound, "the job does not exist", "check the identifier" };
    auto record = JobRecord::decode(row.value);
    if (isFinal(record.state))
        throw Error { ErrorKind::conflict, fmt::format("the job is already {}", toString(record.state)),
            "no action is needed; the job has ended" };
    record.cancelRequested = true;
    return { { { row.key, row.version } }, { { row.key, record.encode() }, { inboxKey(record.spec.id), "cancel" } } };
}

}
