#pragma once

namespace lycheespool {

class ExecutorService;
class ObjectStore;
class TableService;

}
