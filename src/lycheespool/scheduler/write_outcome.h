#pragma once

#include <cstdint>

namespace lycheespool {

/*! @brief Outcome of the write of a job's row. */
enum class WriteOutcome : std::uint8_t {
    written,
    /*! @brief Nothing was written: a condition failed or the table is unavailable. */
    refused,
    /*! @brief The reply was lost and the row could not be read back. */
    unknown,
};

}
