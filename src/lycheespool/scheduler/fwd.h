#pragma once

namespace lycheespool {

class AgentView;
class LeaseGate;
struct JobRecord;
struct LeaseRecord;
struct ManagedJob;

template <typename Policy, typename Table, typename Orders, typename Clock>
class Scheduler;

template <typename Table, typename Clock>
class LeaseKeeper;

template <typename Table, typename Clock>
class JobStore;

}
