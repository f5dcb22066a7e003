#include "lycheespool/cli/settings_parser.h"

#include "lycheespool/core/error.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>

namespace lycheespool {

namespace {

std::string variableOf(const std::string& name)
{
    auto variable = "LYCHEESPOOL_" + name;
    std::ranges::transform(
        variable, variable.begin(), [](unsigned char c) { return c == '-' ? '_' : std::toupper(c); });
    return variable;
}

Error invalidSetting(const std::string& name, const std::string& what, const std::string& remedy)
{
    return { ErrorKind::invalidSetting, fmt::format("setting --{} ({}): {}", name, variableOf(name), what), remedy };
}

}

struct SettingsParser::Option {
    std::string fallback;
    bool isNumber { false };
    std::uint64_t min { 0 };
    std::uint64_t max { 0 };
    std::unique_ptr<TCLAP::ValueArg<std::string>> flag;
};

SettingsParser::SettingsParser(std::string role, const std::string& description)
    : m_role { std::move(role) }
    , m_commandLine { std::make_unique<TCLAP::CmdLine>(description, ' ', "0.1.0") }
{
    m_commandLine->setExceptionHandling(false);
}

SettingsParser::~SettingsParser() = default;

void SettingsParser::addText(const std::string& name, const std::string& description, const std::string& fallback)
{
    add(name, description, { fallback, false, 0, 0, nullptr });
}

void SettingsParser::addNumber(const std::string& name, const std::string& description, std::uint64_t fallback,
    std::uint64_t min, std::uint64_t max)
{
    const auto range = fmt::format("{}, {} to {}", description, min, max);
    add(name, range, { std::to_string(fallback), true, min, max, nullptr });
}

void SettingsParser::add(const std::string& name, const std::string& description, Option option)
{
    const auto help = fmt::format("{} [{}, default '{}']", description, variableOf(name), option.fallback);
    const std::string type = option.isNumber ? "number" : "text";
    option.flag = std::make_unique<TCLAP::ValueArg<std::string>>("", name, help, false, "", type, *m_commandLine);
    m_options.emplace(name, std::move(option));
}

void SettingsParser::parse(const std::vector<std::string>& args)
{
    std::vector<std::string> words { "lycheespool " + m_role };
    words.insert(words.end(), args.begin(), args.end());
    try {
        m_commandLine->parse(words);
    } catch (const TCLAP::ExitException& exit) {
        std::exit(exit.getExitStatus());
    } catch (const TCLAP::ArgException& error) {
        throw Error { ErrorKind::invalidSetting, fmt::format("{} {}", error.error(), error.argId()),
            fmt::format("run 'lycheespool {} --help' for all settings", m_role) };
    }
}

std::string SettingsParser::text(const std::string& name) const
{
    const auto& option = m_options.at(name);
    if (option.flag->isSet())
        return option.flag->getValue();
    const char* variable = std::getenv(variableOf(name).c_str());
    return variable ? variable : option.fallback;
}

std::string SettingsParser::required(const std::string& name) const
{
    auto value = text(name);
    if (value.empty())
        throw invalidSetting(name, "is missing", "set the flag or the variable");
    return value;
}

std::uint64_t SettingsParser::number(const std::string& name) const
{
    const auto& option = m_options.at(name);
    const auto value = text(name);
    std::uint64_t parsed = 0;
    const auto [end, status] = std::from_chars(value.data(), value.data() + value.size(), parsed);
    if (status != std::errc {} || end != value.data() + value.size() || parsed < option.min || parsed > option.max)
        throw invalidSetting(name, fmt::format("'{}' is not allowed", value),
            fmt::format("use a whole number from {} to {}", option.min, option.max));
    return parsed;
}

}
