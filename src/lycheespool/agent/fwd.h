#pragma once

namespace lycheespool {

class ExecutorEndpoint;
class FreshnessProof;
class Reservations;
class WorkerEndpoint;

template <typename Endpoint>
class EntryLink;

template <typename Worker, typename Clock>
class WorkerTasks;

}
