#pragma once

#include <string>
#include <string_view>

namespace lycheespool {

/**
 * @brief Computes the digest of a request's body, to detect a key that is reused with another body.
 * @param body The body.
 * @return 128-bit xxHash in hexadecimal.
 */
[[nodiscard]] std::string bodyDigestOf(std::string_view body);

}
