#include "lycheespool/document/document.h"

namespace lycheespool {

std::vector<ZoneId> Document::zonesOutOfService() const
{
    std::vector<ZoneId> out;
    for (const auto& it : zones.zones) {
        if (!it.inService)
            out.push_back(it.id);
    }
    return out;
}

}
