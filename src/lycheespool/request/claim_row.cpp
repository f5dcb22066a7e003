#include "lycheespool/request/claim_row.h"

#include "lycheespool/core/error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace lycheespool {

namespace {

constexpr std::array<std::string_view, 3> stateNames { "claimed", "dispatched", "done" };

// The table service stores JSON text, which cannot hold arbitrary bytes.
std::string toUtf8(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size());
    for (const char it : bytes) {
        const auto byte = static_cast<unsigned char>(it);
        if (byte < 0x80U) {
            text += it;
            continue;
        }
        text += static_cast<char>(0xC0U | (byte >> 6U));
        text += static_cast<char>(0x80U | (byte & 0x3FU));
    }
    return text;
}

std::string fromUtf8(std::string_view text)
{
    std::string bytes;
    bytes.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto first = static_cast<unsigned char>(text[i]);
        if (first < 0x80U || i + 1 == text.size()) {
            bytes += text[i];
            continue;
        }
        const auto second = static_cast<unsigned char>(text[++i]);
        bytes += static_cast<char>(((first & 0x03U) << 6U) | (second & 0x3FU));
    }
    return bytes;
}

ClaimState stateOf(const std::string& name)
{
    const auto* const it = std::find(stateNames.begin(), stateNames.end(), name);
    if (it == stateNames.end())
        throw Error { ErrorKind::internal, "claim row has the unknown state " + name,
            "check the versions of the entries" };
    return static_cast<ClaimState>(it - stateNames.begin());
}

}

std::string claimRowKey(const WorkspaceId& workspace, const RequestKey& key)
{
    std::string text { "claim/" };
    for (const char it : workspace.value()) {
        if (it == '/')
            text += "%2F";
        else if (it == '%')
            text += "%25";
        else
            text += it;
    }
    return text + '/' + key.value();
}

std::string encodeClaim(const ClaimRow& row)
{
    nlohmann::json object { { "state", stateNames[static_cast<std::size_t>(row.state)] }, { "digest", row.digest },
        { "entry", row.entry.value() }, { "token", row.token } };
    if (row.state != ClaimState::claimed) {
        object["agent"] = row.agent.value();
        object["incarnation"] = row.incarnation.value();
    }
    if (row.state == ClaimState::done) {
        object["status"] = row.answer.status;
        object["complete"] = row.answer.complete;
        object["body"] = toUtf8(row.answer.body);
    }
    return object.dump();
}

ClaimRow decodeClaim(std::string_view text)
{
    try {
        const auto object = nlohmann::json::parse(text);
        ClaimRow row;
        row.state = stateOf(object.at("state").get<std::string>());
        row.digest = object.at("digest").get<std::string>();
        row.entry = EntryId { object.at("entry").get<std::string>() };
        row.token = object.at("token").get<std::string>();
        if (row.state != ClaimState::claimed) {
            row.agent = AgentId { object.at("agent").get<std::string>() };
            row.incarnation = Incarnation { object.at("incarnation").get<std::uint64_t>() };
        }
        if (row.state == ClaimState::done) {
            row.answer.status = object.at("status").get<unsigned>();
            row.answer.complete = object.at("complete").get<bool>();
            row.answer.body = fromUtf8(object.at("body").get<std::string>());
        }
        return row;
    } catch (const nlohmann::json::exception& error) {
        throw Error { ErrorKind::internal, std::string { "claim row cannot be decoded: " } + error.what(),
            "check the versions of the entries" };
    }
}

}
