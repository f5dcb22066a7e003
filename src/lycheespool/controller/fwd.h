#pragma once

namespace lycheespool {

class Controller;
class ExecutorView;

struct ControllerSettings;
struct LiveRun;
struct ManagedWorkload;

}
