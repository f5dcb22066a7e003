#pragma once

namespace lycheespool {

class JobDirectory;

struct AccessResult;
struct ConfigKnowledge;
struct JobSummary;
struct RetryContext;

}
