#pragma once

namespace lycheespool {

class Controller;
class RpcHolderProbe;

enum class HolderState : unsigned char;

struct ControllerSettings;
struct EndedJobRows;
struct ExecutorView;
struct LiveRun;
struct ManagedWorkload;

}
