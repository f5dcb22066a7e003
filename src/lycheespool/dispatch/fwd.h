#pragma once

namespace lycheespool {

class DurationModel;
class StartPlanner;

struct DurationForecast;
struct EvictableRun;
struct LeavingRun;
struct NodeRoom;
struct PreemptionInput;
struct PreemptionLimits;
struct PreemptionRule;
struct StartPlan;
struct StartRequest;

}
