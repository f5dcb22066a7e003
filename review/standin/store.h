#pragma once

// Stand-in of the platform's store: rows, transactions, ranges and the feed, with the limits of the settings.

#include "http.h"
#include "record.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <tuple>
#include <vector>

namespace review {

using Json = nlohmann::json;

class Store {
public:
    static constexpr std::size_t rowBytes = 65536;
    static constexpr std::size_t maxCallBytes = 1'000'000;
    static constexpr std::size_t maxEntries = 100;
    static constexpr std::size_t rowsPerPage = 500;

    Store(const std::string& ip, std::uint16_t port)
        : m_server { ip, port, [this](const Request& request) { return serve(request); } }
    {
    }
    void open() { m_server.open(); }

    /*! @brief Writes a row of the operator. */
    void put(const std::string& table, const std::string& key, const std::string& base64)
    {
        const std::scoped_lock lock { m_mutex };
        ++m_version;
        set({ table, "", key }, base64);
        m_changed.notify_all();
    }

    /*! @brief Number of transactions that were refused since a row or the call was too large. */
    [[nodiscard]] std::size_t oversized() const { return m_oversized; }

private:
    using Name = std::tuple<std::string, std::string, std::string>;
    struct Row {
        std::string value;
        std::uint64_t version { 0 };
    };
    struct Change {
        Name name;
        std::uint64_t version { 0 };
        bool deleted { false };
    };

    static Name nameOf(const Json& json)
    {
        return { json.at("table").get<std::string>(), json.value("part", std::string {}),
            json.at("key").get<std::string>() };
    }

    static Json toJson(const Name& name, const Row& row)
    {
        return { { "table", std::get<0>(name) }, { "part", std::get<1>(name) }, { "key", std::get<2>(name) },
            { "value", row.value }, { "rowVersion", row.version } };
    }

    void set(const Name& name, const std::string& value)
    {
        m_rows[name] = { value, m_version };
        m_history.push_back({ name, m_version, false });
    }

    [[nodiscard]] Json answer(Json rows) const
    {
        return { { "rows", std::move(rows) }, { "rowVersion", m_version }, { "nowMs", nowMs() }, { "hasMore", false } };
    }

    Reply serve(const Request& request)
    {
        std::this_thread::sleep_for(Ms { 4 });
        if (request.method == "POST" && request.path == "/v1/rows-tx")
            return transact(request.body);
        if (request.method == "GET" && request.path == "/v1/rows-get")
            return range(request);
        if (request.method == "GET" && request.path == "/v1/rows-feed")
            return feed(request);
        return { 404, "{}", false };
    }

    Reply transact(const std::string& body)
    {
        const auto json = Json::parse(body);
        const auto conditions = json.value("expectedRev", Json::array());
        const auto writes = json.value("setKeys", Json::array());
        const auto removals = json.value("remove", Json::array());
        if (body.size() > maxCallBytes || conditions.size() + writes.size() + removals.size() > maxEntries)
            return tooLarge("call", body.size());
        for (const auto& it : writes) {
            const auto bytes = it.at("value").get_ref<const std::string&>().size() * 3 / 4;
            if (bytes > rowBytes + 2)
                return tooLarge(it.at("key").get<std::string>().c_str(), bytes);
            if (it.at("table") == "op" || it.at("table") == "servers")
                return { 403, "{}", false };
        }
        const std::scoped_lock lock { m_mutex };
        bool holds = true;
        Json current = Json::array();
        for (const auto& it : conditions) {
            const auto name = nameOf(it);
            const auto row = m_rows.find(name);
            const auto version = row == m_rows.end() ? 0 : row->second.version;
            holds = holds && version == it.at("rowVersion").get<std::uint64_t>();
            if (row != m_rows.end())
                current.push_back(toJson(name, row->second));
        }
        if (!holds)
            return { 412, answer(std::move(current)).dump(), false };
        ++m_version;
        for (const auto& it : writes)
            set(nameOf(it), it.at("value").get<std::string>());
        for (const auto& it : removals) {
            if (m_rows.erase(nameOf(it)) > 0)
                m_history.push_back({ nameOf(it), m_version, true });
        }
        m_changed.notify_all();
        return { 200, answer(Json::array()).dump(), false };
    }

    Reply tooLarge(const char* what, std::size_t bytes)
    {
        if (m_oversized++ < 3)
            record.line("store: refused a transaction, %s has %zu bytes", what, bytes);
        return { 400, "{}", false };
    }

    Reply range(const Request& request)
    {
        auto parameter = [&](const char* name) {
            const auto it = request.query.find(name);
            return it == request.query.end() ? std::string {} : it->second;
        };
        const auto table = parameter("table");
        const auto part = parameter("part");
        const auto from = parameter("from");
        const auto to = parameter("to");
        const std::scoped_lock lock { m_mutex };
        Json rows = Json::array();
        std::size_t bytes = 0;
        bool hasMore = false;
        for (auto it = m_rows.lower_bound({ table, part, from }); it != m_rows.end(); ++it) {
            if (std::get<0>(it->first) != table || std::get<1>(it->first) != part
                || (!to.empty() && std::get<2>(it->first) >= to))
                break;
            if (rows.size() >= rowsPerPage || bytes > 900'000) {
                hasMore = true;
                break;
            }
            rows.push_back(toJson(it->first, it->second));
            bytes += it->second.value.size();
        }
        auto json = answer(std::move(rows));
        json["hasMore"] = hasMore;
        return { 200, json.dump(), false };
    }

    Reply feed(const Request& request)
    {
        const auto table = request.query.at("table");
        const auto after = std::stoull(request.query.at("after"));
        const auto until = Clock::now() + Ms { std::stol(request.query.at("waitMs")) };
        std::unique_lock lock { m_mutex };
        while (true) {
            Json rows = Json::array();
            for (auto it = m_history.rbegin(); it != m_history.rend() && it->version > after; ++it) {
                if (std::get<0>(it->name) != table)
                    continue;
                const auto row = m_rows.find(it->name);
                const bool isNewest = row == m_rows.end() ? it->deleted : row->second.version == it->version;
                if (!isNewest)
                    continue;
                auto json = toJson(it->name, row == m_rows.end() ? Row { {}, it->version } : row->second);
                if (it->deleted) {
                    json["deleted"] = true;
                    json.erase("value");
                }
                rows.push_back(std::move(json));
            }
            std::reverse(rows.begin(), rows.end());
            if (!rows.empty() || Clock::now() >= until)
                return { 200, answer(std::move(rows)).dump(), false };
            m_changed.wait_until(lock, until);
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Name, Row> m_rows;
    std::deque<Change> m_history;
    std::uint64_t m_version { 0 };
    std::atomic<std::size_t> m_oversized { 0 };
    Server m_server;
};

}
