#pragma once

namespace lycheespool {

struct ExecutorAnnouncement;
struct ExecutorAnswer;
struct HoldRequest;
struct RunStart;
struct RunStop;

}
