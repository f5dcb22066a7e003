#pragma once

#include "lycheespool/workload/step_spec.h"

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief A job as a client submits it. */
struct JobRequest {
    /*! @brief Opaque text that is passed to executors with each task. */
    std::string payload;
    std::vector<StepSpec> steps;
    /*! @brief Number of times the steps run; 0 means once, without a schedule. */
    std::uint32_t occurrences { 0 };
    /*! @brief Unix time at which the first occurrence is due, ms. */
    std::int64_t firstDueUnixMs { 0 };
    std::int64_t intervalMs { 0 };
    MSGPACK_DEFINE(payload, steps, occurrences, firstDueUnixMs, intervalMs)

    /**
     * @brief Returns how often the steps run.
     * @return At least 1.
     */
    [[nodiscard]] std::uint32_t occurrenceCount() const { return occurrences == 0 ? 1 : occurrences; }
};

/*! @brief Scheduling policy of a queue. */
struct QueuePolicy {
    /*! @brief Service whose executors run the tasks. */
    std::string service;
    /*! @brief Priority of the queue; 0 is the most important. */
    std::uint32_t priority { 0 };
    /*! @brief Number of failures of a task after which its job fails. */
    std::uint32_t maxAttempts { 1 };
    /*! @brief Factor by which the run time of the longest chain of steps enters the latency objective. */
    double slowdownFactor { 1.0 };
    /*! @brief Constant part of the latency objective, ms. */
    std::int64_t targetLatencyMs { 0 };
    MSGPACK_DEFINE(service, priority, maxAttempts, slowdownFactor, targetLatencyMs)
};

/*! @brief Stored form of an accepted job; never rewritten. */
struct JobRow {
    JobRequest request;
    /*! @brief Name of the queue (route) that accepted the job. */
    std::string queue;
    std::string workspace;
    std::int64_t acceptedUnixMs { 0 };
    /*! @brief Policy of the queue at acceptance; applies if the queue is removed before the job ends. */
    QueuePolicy policy;
    MSGPACK_DEFINE(request, queue, workspace, acceptedUnixMs, policy)
};

/*! @brief Maximum number of tasks of a job over all steps and occurrences. The progress row has a bit for each; the
 * leader limits the tasks that run at once to those that fit into the row. */
inline constexpr std::uint32_t maxTasksPerJob = 6000;
/*! @brief Maximum number of steps of a job. */
inline constexpr std::size_t maxStepsPerJob = 200;
/*! @brief Latest time at which an occurrence may be due, Unix ms; 2^53, so that differences from it fit into 64 bits.
 */
inline constexpr std::int64_t maxDueUnixMs = std::int64_t { 1 } << 53;

/**
 * @brief Counts the tasks of a job over all steps and occurrences.
 * @param request The job.
 * @return Number of tasks, or nothing if it does not fit into 64 bits.
 */
[[nodiscard]] std::optional<std::uint64_t> countTasks(const JobRequest& request);

/**
 * @brief Checks the times at which the occurrences of a job are due.
 * @param request The job.
 * @return True if no occurrence is due more than @ref maxDueUnixMs before or after 1970.
 */
[[nodiscard]] bool hasValidDueTimes(const JobRequest& request);

/**
 * @brief Finds the first reason to reject a job.
 * @param request The job.
 * @return The reason with its remedy, or nothing if the job is valid.
 */
[[nodiscard]] std::optional<std::string> findValidationError(const JobRequest& request);

}
