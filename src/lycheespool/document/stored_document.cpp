#include "lycheespool/document/stored_document.h"

#include "lycheespool/document/record_codec.h"
#include "lycheespool/document/section_parser.h"

#include <algorithm>

namespace lycheespool {

StoredDocument StoredDocument::decode(const Row& head, const Rows& sections)
{
    StoredDocument document;
    document.headVersion = head.version;
    if (head.exists())
        document.head = RecordCodec::decodeHead(head.value);
    for (const auto& it : sections) {
        StoredSection section { RecordCodec::decodeSection(it.value), it.version };
        document.sections.insert_or_assign(section.record.content.section, std::move(section));
    }
    return document;
}

bool StoredDocument::isConsistent() const
{
    return std::ranges::equal(head.sections, sections, [](const auto& entry, const auto& section) {
        return entry.first == section.first && entry.second.revision == section.second.record.revision;
    });
}

StoredSection StoredDocument::find(const SectionId& section) const
{
    const auto it = sections.find(section);
    if (it != sections.end())
        return it->second;
    StoredSection absent;
    absent.record.content.section = section;
    return absent;
}

std::vector<SectionText> StoredDocument::texts() const
{
    std::vector<SectionText> texts;
    texts.reserve(sections.size());
    for (const auto& [id, section] : sections)
        texts.push_back(section.record.content);
    return texts;
}

Document StoredDocument::parse() const
{
    auto document = parseSections(texts());
    document.revision = head.revision;
    document.digest = head.digest;
    return document;
}

}
