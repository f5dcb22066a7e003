#pragma once

namespace lycheespool {

class DurationModel;
class NodeSpeeds;
class StartPlanner;

struct DurationForecast;
struct EvictableRun;
struct CrashCounts;
struct CrashLimits;
struct DepartingRun;
struct NodeCapacity;
struct NodeRun;
struct PlacementLimits;
struct PreemptionInput;
struct PreemptionLimits;
struct PreemptionRule;
struct RetryLimits;
struct RetryTiming;
struct StartPlan;
struct StartRequest;

}
