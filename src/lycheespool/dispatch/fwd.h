#pragma once

namespace lycheespool {

class DurationModel;
class StartPlanner;

struct DurationForecast;
struct EvictableRun;
struct LeavingRun;
struct NodeRoom;
struct StartPlan;
struct StartRequest;

}
