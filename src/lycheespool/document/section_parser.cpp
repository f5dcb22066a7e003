#include "lycheespool/document/section_parser.h"

#include "lycheespool/core/error.h"
#include "lycheespool/document/schema_1.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <utility>

namespace lycheespool {

namespace {

constexpr std::string_view whitespace = " \t\r\n";

bool isBlank(std::string_view text) { return text.find_first_not_of(whitespace) == std::string_view::npos; }

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

void checkSize(const SectionText& section)
{
    const auto lines = static_cast<std::size_t>(std::ranges::count(section.text, '\n'));
    if (section.text.size() <= maxSectionBytes && lines <= maxSectionLines)
        return;
    throw Error { ErrorKind::invalidArgument,
        fmt::format("section {}, line {}: the text has {} bytes and {} lines", section.section.value(), lines + 1,
            section.text.size(), lines),
        fmt::format("keep a section within {} bytes and {} lines", maxSectionBytes, maxSectionLines) };
}

std::vector<std::string_view> splitLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size() - 1) + 1;
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end);
    }
    return lines;
}

/*! @brief Returns the section of a table header such as `[workspace.a.queue]`; empty for other lines. */
std::optional<SectionId> sectionOfHeader(std::string_view line)
{
    auto header = trim(line);
    if (!header.starts_with('['))
        return std::nullopt;
    header.remove_prefix(header.starts_with("[[") ? 2 : 1);
    header = header.substr(0, header.find(']'));
    const auto first = trim(header.substr(0, header.find('.')));
    if (first != "workspace")
        return SectionId { std::string { first } };
    header.remove_prefix(std::min(header.find('.'), header.size() - 1) + 1);
    const auto second = trim(header.substr(0, header.find('.')));
    return sectionOf(WorkspaceId { std::string { second } });
}

SchemaVersion parseSchema(std::string_view text, std::size_t line)
{
    auto value = trim(text.substr(0, text.find('#')));
    std::uint32_t number = 0;
    if (value.starts_with("schema")) {
        value = trim(value.substr(6));
        value = value.starts_with('=') ? trim(value.substr(1)) : std::string_view {};
        const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), number);
        if (ec == std::errc {} && end == value.data() + value.size())
            return SchemaVersion { number };
    }
    throw Error { ErrorKind::invalidArgument,
        fmt::format("document, line {}: \"{}\" is not allowed before the first section", line, trim(text)),
        "start the document with schema = 1 and write every section with headers such as [zones]" };
}

/*! @brief Splits the lines of a document into sections. */
class DocumentSplitter {
public:
    void add(std::string_view line)
    {
        ++m_line;
        const auto content = trim(line);
        if (const auto section = sectionOfHeader(line))
            startSection(*section);
        if (content.empty() || content.starts_with('#')) {
            m_pendingComments.append(line);
            return;
        }
        if (m_sections.empty())
            setSchema(line);
        else
            m_sections.back().text.append(std::exchange(m_pendingComments, {})).append(line);
    }

    [[nodiscard]] std::vector<SectionText> finish()
    {
        if (!m_schema)
            throw Error { ErrorKind::invalidArgument, "document, line 1: the schema version is missing",
                "start the document with schema = 1" };
        for (auto& it : m_sections)
            it.schema = *m_schema;
        if (!m_sections.empty())
            m_sections.back().text.append(m_pendingComments);
        return std::move(m_sections);
    }

private:
    void startSection(const SectionId& section)
    {
        if (!m_sections.empty() && m_sections.back().section == section)
            return;
        static_cast<void>(kindOf(section));
        if (!m_seen.insert(section).second)
            throw Error { ErrorKind::invalidArgument,
                fmt::format("section {}, line {} of the document: the section starts again", section.value(), m_line),
                "keep each section in one piece" };
        m_sections.push_back({ section, {}, currentSchema });
    }

    void setSchema(std::string_view line) { m_schema = parseSchema(line, m_line); }

    std::vector<SectionText> m_sections;
    std::set<SectionId> m_seen;
    std::string m_pendingComments;
    std::optional<SchemaVersion> m_schema;
    std::size_t m_line { 0 };
};

}

void parseSection(const SectionText& section, Document& document)
{
    const auto kind = kindOf(section.section);
    if (isBlank(section.text)) {
        if (kind == SectionKind::workspace)
            document.workspaces.erase(workspaceOf(section.section));
        return;
    }
    checkSize(section);
    switch (section.schema.value()) {
    case 1:
        return detail::parseSchema1(section, document);
    default:
        throw Error { ErrorKind::invalidArgument,
            fmt::format("section {}, line 1: schema {} is unknown", section.section.value(), section.schema.value()),
            fmt::format("this program reads schema 1 to {}; upgrade it, or write the section in schema {}",
                currentSchema.value(), currentSchema.value()) };
    }
}

Document parseSections(const std::vector<SectionText>& sections)
{
    Document document;
    std::set<SectionId> seen;
    for (const auto& it : sections) {
        if (!seen.insert(it.section).second)
            throw Error { ErrorKind::invalidArgument, fmt::format("section {} occurs twice", it.section.value()),
                "keep each section in one piece" };
        parseSection(it, document);
    }
    return document;
}

std::vector<SectionText> splitDocument(std::string_view text)
{
    DocumentSplitter splitter;
    for (const auto it : splitLines(text))
        splitter.add(it);
    return splitter.finish();
}

std::string joinDocument(const std::vector<SectionText>& sections)
{
    const auto schema = sections.empty() ? currentSchema : sections.front().schema;
    auto text = fmt::format("schema = {}\n", schema.value());
    for (const auto& it : sections) {
        if (!isBlank(it.text))
            text.append("\n").append(it.text);
    }
    return text;
}

}
