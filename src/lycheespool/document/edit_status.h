#pragma once

#include <cstdint>

namespace lycheespool {

/*! @brief Outcome of an edit. */
enum class EditStatus : std::uint8_t {
    /*! @brief Its transaction has committed. */
    accepted,
    /*! @brief The section's revision differs from the edit's base; nothing was written. */
    conflict,
    /*! @brief The text is invalid or the author lacks permission; nothing was written. */
    refused,
    /*! @brief The edit causes warnings that the editor must override explicitly; nothing was written. */
    needsOverride,
    /*! @brief This attempt wrote nothing and never will; it can be retried with the same token. */
    notAccepted,
    /*! @brief The edit may have been accepted; the ticket allows the outcome to be queried. */
    outcomeUnknown,
};

}
