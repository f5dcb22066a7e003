#pragma once

namespace lycheespool {

class BloomFilter;
class Combiner;
class ExecutionLedger;
class Membership;
class NodeHealth;
class NodeLease;
class OutlierEjection;
class RetryBudget;
class RoundRobin;
class RpcDispatcher;
class ServiceTimeEstimate;
class SteadyTiming;
struct AdmissionLimits;
struct CallResult;
struct Claim;
struct ClaimRow;
struct ClientAnswer;
struct ClientRequest;
struct ExecutorNode;
struct StoredAnswer;

}
