#pragma once

#include "lycheespool/core/strong.h"

#include <cstdint>

namespace lycheespool {

/*! @brief Version of the document's schema. */
using SchemaVersion = Strong<struct SchemaVersionTag, std::uint32_t>;

/*! @brief Newest schema that this program reads; also the schema it writes. */
inline constexpr SchemaVersion currentSchema { 1 };

}
