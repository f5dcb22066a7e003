#include "lycheespool/document/line_difference.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <optional>
#include <span>
#include <vector>

namespace lycheespool {

namespace {

using Lines = std::vector<std::string_view>;
/*! @brief For each line of the base, the index of the matching line in the other text. */
using Matches = std::vector<std::optional<std::size_t>>;

Lines linesOf(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

/*! @brief Lengths of the longest common subsequences of all pairs of suffixes of the two texts. */
class CommonLengths {
public:
    CommonLengths(const Lines& base, const Lines& other)
        : m_width { other.size() + 1 }
        , m_lengths((base.size() + 1) * m_width)
    {
        for (auto i = base.size(); i-- > 0;) {
            for (auto j = other.size(); j-- > 0;)
                cell(i, j) = base[i] == other[j] ? at(i + 1, j + 1) + 1 : std::max(at(i + 1, j), at(i, j + 1));
        }
    }

    [[nodiscard]] std::uint32_t at(std::size_t i, std::size_t j) const { return m_lengths[i * m_width + j]; }

private:
    std::uint32_t& cell(std::size_t i, std::size_t j) { return m_lengths[i * m_width + j]; }

    std::size_t m_width;
    std::vector<std::uint32_t> m_lengths;
};

Matches match(const Lines& base, const Lines& other)
{
    const CommonLengths lengths { base, other };
    Matches matches(base.size());
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < base.size() && j < other.size()) {
        if (base[i] == other[j])
            matches[i++] = j++;
        else if (lengths.at(i + 1, j) >= lengths.at(i, j + 1))
            ++i;
        else
            ++j;
    }
    return matches;
}

std::span<const std::string_view> slice(const Lines& lines, std::size_t from, std::size_t to)
{
    return std::span { lines }.subspan(from, to - from);
}

void append(std::string& out, std::string_view label, std::span<const std::string_view> lines)
{
    for (const auto it : lines)
        fmt::format_to(std::back_inserter(out), "{} {}\n", label, it);
    if (lines.empty())
        fmt::format_to(std::back_inserter(out), "{} (no line)\n", label);
}

}

std::string threeWayDifference(std::string_view base, std::string_view theirs, std::string_view yours)
{
    const auto baseLines = linesOf(base);
    const auto theirLines = linesOf(theirs);
    const auto yourLines = linesOf(yours);
    const auto theirMatches = match(baseLines, theirLines);
    const auto yourMatches = match(baseLines, yourLines);
    std::string out;
    std::size_t b = 0;
    std::size_t t = 0;
    std::size_t y = 0;
    // Each line that all three texts share ends a hunk; the end of the texts ends the last one.
    for (std::size_t i = 0; i <= baseLines.size(); ++i) {
        const bool atEnd = i == baseLines.size();
        if (!atEnd && !(theirMatches[i] && yourMatches[i]))
            continue;
        const auto theirEnd = atEnd ? theirLines.size() : *theirMatches[i];
        const auto yourEnd = atEnd ? yourLines.size() : *yourMatches[i];
        if (i > b || theirEnd > t || yourEnd > y) {
            fmt::format_to(std::back_inserter(out), "@@ line {}\n", b + 1);
            append(out, "base:  ", slice(baseLines, b, i));
            append(out, "theirs:", slice(theirLines, t, theirEnd));
            append(out, "yours: ", slice(yourLines, y, yourEnd));
        }
        b = i + 1;
        t = theirEnd + 1;
        y = yourEnd + 1;
    }
    return out;
}

}
