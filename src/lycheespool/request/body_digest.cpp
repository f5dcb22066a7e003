#include "lycheespool/request/body_digest.h"

#include <fmt/format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lycheespool {

std::string bodyDigestOf(std::string_view body)
{
    const auto hash = XXH3_128bits(body.data(), body.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

}
