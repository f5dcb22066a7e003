#pragma once

#include "lycheespool/request/claim_row.h"

#include <cstdint>
#include <string>

namespace lycheespool {

/*! @brief A claim row as last read, with the version that the next conditional write requires. */
struct Claim {
    std::string key;
    std::uint64_t version { 0 };
    ClaimRow row;
};

/*! @brief Result of a conditional write to a claim row. */
struct ClaimWrite {
    /*! @brief True if the write took effect; false if another write came first. */
    bool applied { false };
    /*! @brief The row after the write, or the other writer's row. */
    Claim claim;
};

}
