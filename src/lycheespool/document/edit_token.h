#pragma once

#include "lycheespool/core/strong.h"

#include <string>

namespace lycheespool {

/*! @brief Identifies one edit, so that its outcome can be found after its reply was lost. */
using EditToken = Strong<struct EditTokenTag, std::string>;

/*! @brief Maximum length of a token, in bytes. */
inline constexpr std::size_t maxTokenBytes = 64;

}
