#pragma once

namespace lycheespool {

class FirstFit;
struct Assignment;
struct JobSpec;
struct Resources;
struct WorkerSpec;

}
