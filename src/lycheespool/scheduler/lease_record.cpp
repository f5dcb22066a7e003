#include "lycheespool/scheduler/lease_record.h"

#include "lycheespool/core/error.h"

#include <nlohmann/json.hpp>

namespace lycheespool {

using nlohmann::json;

std::string LeaseRecord::encode() const
{
    const json object {
        { "holder", holder.value() },
        { "incarnation", incarnation.value() },
        { "epoch", epoch.value() },
    };
    return object.dump();
}

LeaseRecord LeaseRecord::decode(std::string_view text)
{
    try {
        const auto object = json::parse(text);
        LeaseRecord record;
        record.holder = EntryId { object.at("holder").get<std::string>() };
        record.incarnation = Incarnation { object.at("incarnation").get<std::uint64_t>() };
        record.epoch = Epoch { object.at("epoch").get<std::uint64_t>() };
        return record;
    } catch (const json::exception& error) {
        throw Error { ErrorKind::invalidArgument,
            std::string { "lease row does not have the expected format: " } + error.what(),
            "check that all entries run the same version" };
    }
}

}
