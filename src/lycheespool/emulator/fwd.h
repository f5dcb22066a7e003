#pragma once

namespace lycheespool {

class ExecutorService;
class ObjectStore;
class TableService;
class WorkerClient;
class WorkerModel;
class WorkerService;

}
