#pragma once

namespace lycheespool {

class Counter;
class Distribution;
class Error;
class Metrics;

template <typename Tag, typename Value>
class Strong;

template <typename Value>
class Published;

}
