#include "lycheespool/store/table_codec.h"

#include "lycheespool/core/error.h"

#include <nlohmann/json.hpp>

namespace lycheespool {

using nlohmann::json;

namespace {

json toJson(const Row& row) { return { { "key", row.key }, { "value", row.value }, { "version", row.version } }; }

Row toRow(const json& object)
{
    return { object.at("key").get<std::string>(), object.at("value").get<std::string>(),
        object.at("version").get<std::uint64_t>() };
}

std::string dump(const json& object) { return object.dump(-1, ' ', false, json::error_handler_t::replace); }

template <typename Convert>
auto decode(std::string_view text, Convert convert)
{
    try {
        return convert(json::parse(text));
    } catch (const json::exception& error) {
        throw Error { ErrorKind::invalidArgument, std::string { "message of the table service: " } + error.what(),
            "check the versions of client and service" };
    }
}

}

std::string TableCodec::encode(const Row& row) { return dump(toJson(row)); }

std::string TableCodec::encode(const Rows& rows)
{
    auto list = json::array();
    for (const auto& it : rows)
        list.push_back(toJson(it));
    return dump(list);
}

std::string TableCodec::encode(const Transaction& transaction)
{
    auto conditions = json::array();
    for (const auto& it : transaction.conditions)
        conditions.push_back({ { "key", it.key }, { "version", it.version } });
    auto writes = json::array();
    for (const auto& it : transaction.writes)
        writes.push_back({ { "key", it.key }, { "value", it.value ? json(*it.value) : json(nullptr) } });
    return dump({ { "conditions", conditions }, { "writes", writes } });
}

std::string TableCodec::encode(const CommitResult& result)
{
    return dump(
        { { "committed", result.committed }, { "version", result.version }, { "conflicts", result.conflicts } });
}

Row TableCodec::decodeRow(std::string_view text) { return decode(text, toRow); }

Rows TableCodec::decodeRows(std::string_view text)
{
    return decode(text, [](const json& list) {
        Rows rows;
        for (const auto& it : list)
            rows.push_back(toRow(it));
        return rows;
    });
}

Transaction TableCodec::decodeTransaction(std::string_view text)
{
    return decode(text, [](const json& object) {
        Transaction transaction;
        for (const auto& it : object.at("conditions"))
            transaction.conditions.push_back(
                { it.at("key").get<std::string>(), it.at("version").get<std::uint64_t>() });
        for (const auto& it : object.at("writes")) {
            const auto& value = it.at("value");
            auto content = value.is_null() ? std::nullopt : std::optional { value.get<std::string>() };
            transaction.writes.push_back({ it.at("key").get<std::string>(), std::move(content) });
        }
        return transaction;
    });
}

CommitResult TableCodec::decodeResult(std::string_view text)
{
    return decode(text, [](const json& object) {
        CommitResult result;
        result.committed = object.at("committed").get<bool>();
        result.version = object.at("version").get<std::uint64_t>();
        result.conflicts = object.at("conflicts").get<std::vector<std::string>>();
        return result;
    });
}

}
