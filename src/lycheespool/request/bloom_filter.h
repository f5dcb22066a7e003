#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace lycheespool {

/**
 * @brief Bloom filter of keys: no false negatives, some false positives.
 *
 * Uses 512 KiB; the false positive rate is about 1% after 400,000 additions.
 */
class BloomFilter {
public:
    /**
     * @brief Adds a key.
     * @param key The key.
     */
    void add(std::string_view key);

    /**
     * @brief Checks if a key may have been added.
     * @param key The key.
     * @return False if the key was certainly not added.
     */
    [[nodiscard]] bool mayContain(std::string_view key) const;

private:
    static constexpr std::size_t bitCount = std::size_t { 1 } << 22U;
    static constexpr std::size_t hashCount = 4;
    static constexpr std::size_t wordBits = 64;

    [[nodiscard]] static std::array<std::size_t, hashCount> positionsOf(std::string_view key);

    std::vector<std::uint64_t> m_words = std::vector<std::uint64_t>(bitCount / wordBits);
};

}
