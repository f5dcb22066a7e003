#pragma once

#include <cstdint>

namespace lycheespool {

/*! @brief What became of an edit. */
enum class EditStatus : std::uint8_t {
    /*! @brief Its transaction has committed. */
    accepted,
    /*! @brief The section has another revision than the editor saw; nothing was written. */
    conflict,
    /*! @brief The text or the author is not acceptable; nothing was written. */
    refused,
    /*! @brief It has consequences that the editor must accept explicitly; nothing was written. */
    needsOverride,
    /*! @brief This attempt wrote nothing and never will; it may be repeated with the same token. */
    notAccepted,
    /*! @brief It may have been accepted; the outcome can be asked for with the ticket. */
    outcomeUnknown,
};

}
