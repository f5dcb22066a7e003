#pragma once

namespace lycheespool {

class CircuitBreaker;
class EmulatedTable;
class HttpTable;
class LeaderLease;
class MemoryTable;
struct CommitResult;
struct Row;
struct TableFaults;
struct Transaction;

}
