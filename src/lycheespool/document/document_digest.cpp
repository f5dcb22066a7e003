#include "lycheespool/document/document_digest.h"

#define XXH_INLINE_ALL
#include <fmt/format.h>
#include <iterator>
#include <string>
#include <xxhash.h>

namespace lycheespool {

std::uint64_t digestOf(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

std::uint64_t digestOf(const std::map<SectionId, SectionEntry>& sections)
{
    std::string text;
    for (const auto& [section, entry] : sections)
        fmt::format_to(std::back_inserter(text), "{} {} {}\n", section.value(), entry.revision.value(), entry.digest);
    return digestOf(std::string_view { text });
}

}
