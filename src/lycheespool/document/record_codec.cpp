#include "lycheespool/document/record_codec.h"

#include "lycheespool/core/error.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lycheespool {

using nlohmann::json;

namespace {

std::string dump(const json& object) { return object.dump(-1, ' ', false, json::error_handler_t::replace); }

std::string text(const json& object, const char* field) { return object.at(field).get<std::string>(); }

Revision revision(const json& object, const char* field) { return Revision { object.at(field).get<std::uint64_t>() }; }

WallTime time(const json& object)
{
    return WallTime { std::chrono::milliseconds { object.at("time_ms").get<std::int64_t>() } };
}

json toJson(const SectionRecord& record)
{
    return { { "revision", record.revision.value() }, { "section", record.content.section.value() },
        { "schema", record.content.schema.value() }, { "text", record.content.text }, { "author", record.author },
        { "token", record.token.value() }, { "time_ms", record.time.time_since_epoch().count() } };
}

SectionRecord toSection(const json& object)
{
    SectionRecord record;
    record.revision = revision(object, "revision");
    record.content.section = SectionId { text(object, "section") };
    record.content.schema = SchemaVersion { object.at("schema").get<std::uint32_t>() };
    record.content.text = text(object, "text");
    record.author = text(object, "author");
    record.token = EditToken { text(object, "token") };
    record.time = time(object);
    return record;
}

HeadRecord toHead(const json& object)
{
    HeadRecord record { revision(object, "revision"), object.at("digest").get<std::uint64_t>(), {} };
    for (const auto& [name, entry] : object.at("sections").items())
        record.sections[SectionId { name }] = { revision(entry, "revision"), entry.at("digest").get<std::uint64_t>() };
    return record;
}

AuditRecord toAudit(const json& object)
{
    AuditRecord record;
    record.who = text(object, "who");
    record.time = time(object);
    record.act = text(object, "act");
    record.subject = text(object, "subject");
    record.before = text(object, "before");
    record.after = text(object, "after");
    record.process = EntryId { text(object, "process") };
    record.revision = revision(object, "revision");
    return record;
}

template <typename Convert>
auto decode(std::string_view value, Convert convert)
{
    try {
        return convert(json::parse(value));
    } catch (const json::exception& error) {
        throw Error { ErrorKind::internal, fmt::format("cannot decode a row of the document: {}", error.what()),
            "check whether another program writes to the rows document/ and audit/" };
    }
}

}

std::string RecordCodec::encode(const SectionRecord& record) { return dump(toJson(record)); }

std::string RecordCodec::encode(const HeadRecord& record)
{
    auto sections = json::object();
    for (const auto& [section, entry] : record.sections)
        sections[section.value()] = { { "revision", entry.revision.value() }, { "digest", entry.digest } };
    return dump({ { "revision", record.revision.value() }, { "digest", record.digest }, { "sections", sections } });
}

std::string RecordCodec::encode(const HistoryRecord& record)
{
    auto object = toJson(record.section);
    object["previous"] = record.previous.value();
    return dump(object);
}

std::string RecordCodec::encode(const AuditRecord& record)
{
    return dump({ { "who", record.who }, { "time_ms", record.time.time_since_epoch().count() }, { "act", record.act },
        { "subject", record.subject }, { "before", record.before }, { "after", record.after },
        { "process", record.process.value() }, { "revision", record.revision.value() } });
}

SectionRecord RecordCodec::decodeSection(std::string_view value) { return decode(value, toSection); }

HeadRecord RecordCodec::decodeHead(std::string_view value) { return decode(value, toHead); }

HistoryRecord RecordCodec::decodeHistory(std::string_view value)
{
    return decode(value, [](const json& object) {
        return HistoryRecord { toSection(object), revision(object, "previous") };
    });
}

AuditRecord RecordCodec::decodeAudit(std::string_view value) { return decode(value, toAudit); }

}
