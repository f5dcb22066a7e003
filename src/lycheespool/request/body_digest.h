#pragma once

#include <string>
#include <string_view>

namespace lycheespool {

/**
 * @brief Digests a request's body, to recognise a key that is used again with another body.
 * @param body The body.
 * @return 128-bit xxHash in hexadecimal.
 */
[[nodiscard]] std::string bodyDigestOf(std::string_view body);

}
