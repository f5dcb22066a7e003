#pragma once

namespace lycheespool {

struct NodeSettings;
struct OperatorConfig;
struct QueueConfig;
struct ServiceConfig;
struct WorkspaceConfig;

}
