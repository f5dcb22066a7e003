#pragma once

namespace lycheespool {

class JobDirectory;

struct JobSummary;
struct RetryContext;

}
