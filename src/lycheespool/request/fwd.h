#pragma once

namespace lycheespool {

class ExecutionLedger;
class KeyFilter;
class Membership;
class NodeHealth;
class NodeLease;
class OutlierEjection;
class RetryBudget;
class RoundRobin;
class RpcDispatcher;
class SteadyTiming;
struct CallResult;
struct Claim;
struct ClaimRow;
struct ClientAnswer;
struct ClientRequest;
struct ExecutorNode;
struct StoredAnswer;

}
