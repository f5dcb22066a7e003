#pragma once

namespace lycheespool {

class JobDirectory;

struct AccessResult;
struct JobSummary;
struct RetryContext;

}
