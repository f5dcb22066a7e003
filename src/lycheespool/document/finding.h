#pragma once

#include "lycheespool/document/section_id.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheespool {

/*! @brief Whether a finding prevents an edit or only requires an override. */
enum class FindingSeverity : std::uint8_t { error, warning };

/*! @brief An inconsistency within the document, or between the document and the capacity. */
struct Finding {
    FindingSeverity severity { FindingSeverity::error };
    /*! @brief Section with the setting that cannot be satisfied. */
    SectionId section;
    std::string message;

    friend bool operator==(const Finding&, const Finding&) = default;
};

/*! @brief Findings in the order of their sections. */
using Findings = std::vector<Finding>;

}
