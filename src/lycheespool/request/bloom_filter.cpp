#include "lycheespool/request/bloom_filter.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lycheespool {

void BloomFilter::add(std::string_view key)
{
    for (const auto it : positionsOf(key))
        m_words[it / wordBits] |= std::uint64_t { 1 } << (it % wordBits);
}

bool BloomFilter::mayContain(std::string_view key) const
{
    return std::ranges::all_of(
        positionsOf(key), [&](std::size_t it) { return ((m_words[it / wordBits] >> (it % wordBits)) & 1U) != 0; });
}

std::array<std::size_t, BloomFilter::hashCount> BloomFilter::positionsOf(std::string_view key)
{
    const auto hash = XXH3_128bits(key.data(), key.size());
    std::array<std::size_t, hashCount> positions {};
    for (std::size_t i = 0; i < hashCount; ++i)
        positions[i] = (hash.low64 + i * hash.high64) % bitCount;
    return positions;
}

}
