#include "lycheespool/placement/gang_shape.h"

#include <algorithm>
#include <tuple>

namespace lycheespool {

Placement mergeByWorker(const Placement& placement)
{
    Placement merged;
    for (const auto& share : placement) {
        const auto match = std::ranges::find(merged, share.worker, &Share::worker);
        if (match == merged.end())
            merged.push_back({ share.worker, share.tasks, noIndex });
        else
            match->tasks += share.tasks;
    }
    return merged;
}

Placement packBestFit(Placement offers, std::uint32_t tasks)
{
    Placement chosen;
    std::ranges::sort(offers, [](const Share& left, const Share& right) {
        return left.tasks != right.tasks ? left.tasks > right.tasks
                                         : std::tie(left.worker, left.cell) < std::tie(right.worker, right.cell);
    });
    for (auto it = offers.begin(); it != offers.end() && tasks > 0; ++it) {
        // Offers are sorted in descending order, so the last sufficient one is the best fit.
        const auto tooSmall = std::find_if(it, offers.end(), [&](const Share& offer) { return offer.tasks < tasks; });
        const auto& share = tooSmall == it ? *it : *std::prev(tooSmall);
        if (share.tasks == 0)
            break;
        chosen.push_back({ share.worker, std::min(share.tasks, tasks), share.cell });
        tasks -= chosen.back().tasks;
    }
    return tasks == 0 ? chosen : Placement {};
}

}
