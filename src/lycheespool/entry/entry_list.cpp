#include "lycheespool/entry/entry_list.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace lycheespool {

EntryList EntryList::of(std::vector<std::string> addresses)
{
    std::ranges::sort(addresses);
    std::string text;
    for (const auto& it : addresses)
        text += it + '\n';
    const auto digest = XXH64(text.data(), text.size(), 0);
    // 0 is reserved for an agent that has no list yet.
    return { std::move(addresses), std::max<std::uint64_t>(digest, 1) };
}

}
