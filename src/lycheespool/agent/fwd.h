#pragma once

namespace lycheespool {

class ExecutorEndpoint;
class WorkerEndpoint;

template <typename Endpoint>
class EntryLink;

}
