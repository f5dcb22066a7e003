#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace lycheespool {

/*! @brief Categories of errors that callers treat differently. */
enum class ErrorKind {
    invalidArgument,
    invalidSetting,
    malformedFrame,
    notFound,
    conflict,
    unavailable,
    outcomeUnknown,
    deadlineExceeded,
    overloaded,
    forbidden,
    stale,
    internal,
};

/**
 * @brief Names an error kind in lower case with hyphens.
 * @param kind The kind.
 * @return A constant string.
 */
[[nodiscard]] std::string_view toString(ErrorKind kind);

/*! @brief Error of a known kind whose message says what to do about it. */
class Error : public std::runtime_error {
public:
    /**
     * @brief Constructs an error.
     * @param kind What went wrong.
     * @param message What was seen.
     * @param remedy What the reader can do about it.
     */
    Error(ErrorKind kind, const std::string& message, std::string remedy);

    /**
     * @brief Returns the category of the error.
     * @return The kind given at construction.
     */
    [[nodiscard]] ErrorKind kind() const { return m_kind; }

    /**
     * @brief Returns the suggested remedy.
     * @return The remedy given at construction.
     */
    [[nodiscard]] const std::string& remedy() const { return m_remedy; }

private:
    ErrorKind m_kind;
    std::string m_remedy;
};

}
