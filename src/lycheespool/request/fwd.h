#pragma once

namespace lycheespool {

class Membership;
struct ClientAnswer;
struct ClientRequest;
struct ExecutorNode;

template <typename Table>
class RequestPath;

}
