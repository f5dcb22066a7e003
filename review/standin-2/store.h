// Stand-in for the platform's store: rows only, linearizable, 4 ms an answer, all history kept.
#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <mutex>
#include <tuple>

namespace standin {

using Json = nlohmann::json;

class Store {
public:
    Response handle(const Request& request)
    {
        sleepMs(4);
        if (request.path == "/v1/rows-tx")
            return transact(Json::parse(request.body));
        if (request.path == "/v1/rows-get")
            return list(request);
        if (request.path == "/v1/rows-feed")
            return feed(request);
        // The operator writes beside the system's interface.
        if (request.path == "/operator") {
            const std::scoped_lock lock { m_mutex };
            put({ "op", "", request.query.at("key") }, base64(request.body), ++m_version);
            m_changed.notify_all();
            return {};
        }
        return { 404, "{}", false };
    }

private:
    using Name = std::tuple<std::string, std::string, std::string>;
    struct Row {
        std::string value;
        std::uint64_t version { 0 };
        bool isRemoved { false };
    };

    static std::string base64(const std::string& text)
    {
        static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t i = 0; i < text.size(); i += 3) {
            std::uint32_t bits = 0;
            for (std::size_t j = 0; j < 3; ++j)
                bits = bits << 8U | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
            for (std::size_t j = 0; j < 4; ++j)
                out += i + j <= text.size() ? digits[bits >> (18 - 6 * j) & 63U] : '=';
        }
        return out;
    }

    static Name nameOf(const Json& row)
    {
        return { row.value("table", ""), row.value("part", ""), row.value("key", "") };
    }

    static Json toJson(const Name& name, const Row& row)
    {
        Json json { { "table", std::get<0>(name) }, { "part", std::get<1>(name) }, { "key", std::get<2>(name) },
            { "rowVersion", row.version } };
        if (row.isRemoved)
            json["deleted"] = true;
        else
            json["value"] = row.value;
        return json;
    }

    Json body() const { return { { "rowVersion", m_version }, { "nowMs", steadyMs() } }; }

    void put(const Name& name, const std::string& value, std::uint64_t version)
    {
        m_rows[name] = { value, version, false };
    }

    std::uint64_t versionOf(const Name& name) const
    {
        const auto it = m_rows.find(name);
        return it == m_rows.end() || it->second.isRemoved ? 0 : it->second.version;
    }

    Response transact(const Json& request)
    {
        const std::scoped_lock lock { m_mutex };
        bool isCurrent = true;
        Json rows = Json::array();
        for (const auto& it : request.value("expectedRev", Json::array())) {
            const auto name = nameOf(it);
            isCurrent = isCurrent && versionOf(name) == it.value("rowVersion", std::uint64_t { 0 });
            if (versionOf(name) > 0)
                rows.push_back(toJson(name, m_rows[name]));
        }
        auto answer = body();
        answer["rows"] = rows;
        if (!isCurrent)
            return { 412, answer.dump(), false };
        for (const auto* list : { "setKeys", "remove" }) {
            for (const auto& it : request.value(list, Json::array())) {
                if (it.value("table", "") == "op" || it.value("table", "") == "servers")
                    return { 403, "{}", false };
            }
        }
        ++m_version;
        for (const auto& it : request.value("setKeys", Json::array()))
            put(nameOf(it), it.value("value", ""), m_version);
        for (const auto& it : request.value("remove", Json::array()))
            m_rows[nameOf(it)] = { "", m_version, true };
        m_changed.notify_all();
        return { 200, body().dump(), false };
    }

    Response list(const Request& request)
    {
        const auto field = [&](const char* name) {
            const auto it = request.query.find(name);
            return it == request.query.end() ? std::string {} : it->second;
        };
        const std::scoped_lock lock { m_mutex };
        auto answer = body();
        Json rows = Json::array();
        bool hasMore = false;
        for (const auto& [name, row] : m_rows) {
            const auto& [table, part, key] = name;
            if (row.isRemoved || table != field("table") || part != field("part") || key < field("from")
                || (!field("to").empty() && key >= field("to")))
                continue;
            if (rows.size() == 500) {
                hasMore = true;
                break;
            }
            rows.push_back(toJson(name, row));
        }
        answer["rows"] = rows;
        answer["hasMore"] = hasMore;
        return { 200, answer.dump(), false };
    }

    Response feed(const Request& request)
    {
        const auto table = request.query.at("table");
        const auto after = std::stoull(request.query.at("after"));
        std::unique_lock lock { m_mutex };
        const auto changes = [&] {
            std::map<std::uint64_t, std::vector<Json>> byVersion;
            for (const auto& [name, row] : m_rows) {
                if (std::get<0>(name) == table && row.version > after)
                    byVersion[row.version].push_back(toJson(name, row));
            }
            Json rows = Json::array();
            for (const auto& [version, list] : byVersion) {
                for (const auto& it : list)
                    rows.push_back(it);
            }
            return rows;
        };
        Json rows;
        m_changed.wait_for(lock, std::chrono::milliseconds { std::stoll(request.query.at("waitMs")) }, [&] {
            rows = changes();
            return !rows.empty();
        });
        auto answer = body();
        answer["rows"] = rows;
        return { 200, answer.dump(), false };
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Name, Row> m_rows;
    std::uint64_t m_version { 0 };
};

}
