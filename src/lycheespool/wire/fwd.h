#pragma once

namespace lycheespool {

struct Envelope;
struct Frame;
enum class MessageType : unsigned char;

}
