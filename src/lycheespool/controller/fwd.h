#pragma once

namespace lycheespool {

class Controller;

struct ControllerSettings;
struct EndedJobRows;
struct ExecutorView;
struct LiveRun;
struct ManagedWorkload;

}
