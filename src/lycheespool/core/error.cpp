#include "lycheespool/core/error.h"

#include <fmt/format.h>

namespace lycheespool {

std::string_view toString(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::invalidArgument:
        return "invalid-argument";
    case ErrorKind::invalidSetting:
        return "invalid-setting";
    case ErrorKind::malformedFrame:
        return "malformed-frame";
    case ErrorKind::notFound:
        return "not-found";
    case ErrorKind::conflict:
        return "conflict";
    case ErrorKind::unavailable:
        return "unavailable";
    case ErrorKind::outcomeUnknown:
        return "outcome-unknown";
    case ErrorKind::deadlineExceeded:
        return "deadline-exceeded";
    case ErrorKind::overloaded:
        return "overloaded";
    case ErrorKind::forbidden:
        return "forbidden";
    case ErrorKind::stale:
        return "stale";
    case ErrorKind::internal:
        return "internal";
    }
    return "internal";
}

Error::Error(ErrorKind kind, const std::string& message, std::string remedy)
    : std::runtime_error { fmt::format("{}: {}; {}", toString(kind), message, remedy) }
    , m_kind { kind }
    , m_remedy { std::move(remedy) }
{
}

}
