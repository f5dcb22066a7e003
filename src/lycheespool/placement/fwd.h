#pragma once

namespace lycheespool {

class CellBook;
class FirstFit;
class Planner;
class RoomIndex;
class Topology;
struct Amount;
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
