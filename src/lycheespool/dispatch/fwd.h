#pragma once

namespace lycheespool {

struct EvictableRun;
struct NodeRoom;
struct StartPlan;
struct StartRequest;

}
