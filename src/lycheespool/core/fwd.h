#pragma once

namespace lycheespool {

class Counter;
class Error;
class LatencyHistogram;
class Metrics;

template <typename Tag, typename Value>
class Strong;

template <typename Value>
class Published;

}
