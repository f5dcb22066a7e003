#pragma once

#include "lycheespool/core/error.h"
#include "lycheespool/net/http_message.h"
#include "lycheespool/scheduler/job_request.h"
#include "lycheespool/scheduler/job_rows.h"
#include "lycheespool/store/table.h"

#include <fmt/format.h>

#include <random>
#include <string>

namespace lycheespool {

/**
 * @brief Clients' HTTP API for jobs: submit, show and cancel.
 * @tparam TableType Model of Table.
 */
template <Table TableType>
class JobApi {
public:
    /**
     * @brief Creates the API.
     * @param table Table service.
     */
    explicit JobApi(TableType& table)
        : m_table { table }
    {
    }

    /**
     * @brief Submits a job; requests with the same key and body submit it only once.
     * @param workspace Workspace from the path.
     * @param request HTTP request; its `Idempotency-Key` becomes the job's identifier.
     * @return 202 with the job.
     * @throws Error of kind invalidArgument, conflict when the key belongs to another job, unavailable or
     * outcomeUnknown.
     */
    [[nodiscard]] Awaitable<HttpResponse> submit(std::string workspace, HttpRequest request)
    {
        const auto key = request.field("Idempotency-Key");
        const JobId id { key.empty() ? generateId() : std::string { key } };
        requireJobId(id);
        const auto record = parseJobRequest(
            WorkspaceId { std::move(workspace) }, id, std::string { request.field("From") }, request.body);
        auto transaction = JobRows::submit(record);
        bool committed = false;
        try {
            const auto result = co_await m_table.commit(std::move(transaction));
            committed = result.committed;
        } catch (const Error& error) {
            if (error.kind() != ErrorKind::outcomeUnknown)
                throw;
        }
        // A conflict means a repeated submission. After an unknown outcome, the stored row shows whether the commit
        // applied.
        auto stored = record;
        if (!committed)
            stored = co_await readRecord(id, ErrorKind::outcomeUnknown);
        if (!isSameRequest(stored, record))
            throw Error { ErrorKind::conflict, "job " + id.value() + " was submitted with another body",
                "use another Idempotency-Key" };
        co_return describe(stored, 202);
    }

    /**
     * @brief Shows a job.
     * @param id The job.
     * @return 200 with the job.
     * @throws Error of kind notFound or unavailable.
     */
    [[nodiscard]] Awaitable<HttpResponse> show(JobId id)
    {
        requireJobId(id);
        const auto record = co_await readRecord(id, ErrorKind::notFound);
        co_return describe(record, 200);
    }

    /**
     * @brief Requests the cancellation of a job.
     * @param id The job.
     * @return 202 with the job.
     * @throws Error of kind notFound, conflict when it has ended, unavailable or outcomeUnknown.
     */
    [[nodiscard]] Awaitable<HttpResponse> cancel(JobId id)
    {
        requireJobId(id);
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            const auto key = JobRows::jobKey(id);
            const auto row = co_await m_table.get(key);
            if (!row.exists())
                throw notFound(id, ErrorKind::notFound);
            auto record = JobRecord::decode(row.value);
            if (record.cancelRequested)
                co_return describe(record, 202);
            auto transaction = JobRows::cancel(row);
            const auto result = co_await m_table.commit(std::move(transaction));
            record.cancelRequested = true;
            if (result.committed)
                co_return describe(record, 202);
        }
        throw Error { ErrorKind::unavailable,
            "the job's row changed concurrently during each attempt to cancel the job", "send the request again" };
    }

private:
    static constexpr int maxAttempts = 8;

    [[nodiscard]] static std::string generateId()
    {
        std::random_device device;
        return fmt::format("job-{:08x}{:08x}{:08x}", device(), device(), device());
    }

    [[nodiscard]] static Error notFound(const JobId& id, ErrorKind kind)
    {
        if (kind == ErrorKind::outcomeUnknown)
            return { kind, "the table's response was lost and job " + id.value() + " is not stored",
                "submit it again with the same Idempotency-Key" };
        return { kind, "there is no job " + id.value(), "check the identifier" };
    }

    [[nodiscard]] Awaitable<JobRecord> readRecord(JobId id, ErrorKind errorWhenMissing)
    {
        const auto key = JobRows::jobKey(id);
        const auto row = co_await m_table.get(key);
        if (!row.exists())
            throw notFound(id, errorWhenMissing);
        co_return JobRecord::decode(row.value);
    }

    [[nodiscard]] static bool isSameRequest(const JobRecord& stored, const JobRecord& requested)
    {
        const auto& left = stored.spec;
        const auto& right = requested.spec;
        return left.workspace == right.workspace && left.tasks == right.tasks && left.perTask == right.perTask
            && left.adjacency == right.adjacency && left.declaredRunTime == right.declaredRunTime
            && left.urgency == right.urgency && left.kind == right.kind
            && stored.emulatedRunTime == requested.emulatedRunTime;
    }

    [[nodiscard]] static HttpResponse describe(const JobRecord& record, unsigned status)
    {
        HttpResponse response;
        response.status = status;
        response.body = describeJob(record) + '\n';
        response.fields.emplace_back("Location", "/v1/jobs/" + record.spec.id.value());
        return response;
    }

    TableType& m_table;
};

}
