#pragma once

namespace lycheespool {

class AgentView;
class LeaseMutex;
struct JobRecord;
struct LeaseRecord;
struct ManagedJob;

template <typename Policy, typename Table, typename Orders, typename Clock>
class Scheduler;

template <typename Table, typename Clock>
class LeaderElector;

template <typename Table, typename Clock>
class JobStore;

}
