#pragma once

#include "lycheespool/core/strong.h"

#include <string>

namespace lycheespool {

/*! @brief Identifies one edit, so that its outcome can be found after a lost answer. */
using EditToken = Strong<struct EditTokenTag, std::string>;

/*! @brief Longest token, in bytes. */
inline constexpr std::size_t maxTokenBytes = 64;

}
