#pragma once

namespace lycheespool {

struct JobRequest;
struct JobRow;
struct ResourceVector;
struct StepSpec;

class JobProgress;

}
