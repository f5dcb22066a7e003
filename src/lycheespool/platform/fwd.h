#pragma once

namespace lycheespool {

class WorkerClient;
class WorkerModel;
class WorkerService;
struct TaskKey;
struct TaskStart;
struct TaskStatus;
struct WorkerFaults;

}
