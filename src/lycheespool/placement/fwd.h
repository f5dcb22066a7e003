#pragma once

namespace lycheespool {

class CellAllocations;
class FirstFit;
class Planner;
class CapacityIndex;
class Topology;
struct SignedResources;
struct BoundCell;
struct GangShape;
struct GuaranteedCell;
struct JobSpec;
struct JobStatus;
struct PlannerJob;
struct Resources;
struct Shortfall;
struct WorkerSpec;

}
