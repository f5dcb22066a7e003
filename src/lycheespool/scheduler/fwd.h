#pragma once

namespace lycheespool {

template <typename Policy, typename Table, typename Orders>
class Scheduler;

}
