#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace TCLAP {
class CmdLine;
template <class T>
class ValueArg;
}

namespace lycheespool {

/**
 * @brief Reads the settings of one role from flags and environment variables.
 *
 * A flag `--drain-timeout-ms` overrides the variable `LYCHEESPOOL_DRAIN_TIMEOUT_MS`, which overrides the default.
 */
class SettingsParser {
public:
    /**
     * @brief Creates a parser.
     * @param role Role as the user typed it.
     * @param description What the role does.
     */
    SettingsParser(std::string role, const std::string& description);
    ~SettingsParser();
    SettingsParser(const SettingsParser&) = delete;
    SettingsParser& operator=(const SettingsParser&) = delete;

    /**
     * @brief Declares a text setting.
     * @param name Flag without dashes.
     * @param description Meaning with its unit.
     * @param fallback Default; empty makes the setting optional.
     */
    void addText(const std::string& name, const std::string& description, const std::string& fallback);

    /**
     * @brief Declares a number.
     * @param name Flag without dashes.
     * @param description Meaning with its unit.
     * @param fallback Default.
     * @param min Smallest allowed value.
     * @param max Largest allowed value.
     */
    void addNumber(const std::string& name, const std::string& description, std::uint64_t fallback, std::uint64_t min,
        std::uint64_t max);

    /**
     * @brief Reads flags and environment; ends the process after `--help`.
     * @param args Arguments after the role.
     * @throws Error of kind invalidSetting that names the setting and the remedy.
     */
    void parse(const std::vector<std::string>& args);

    /**
     * @brief Returns a text setting.
     * @param name Flag without dashes.
     * @return The value.
     */
    [[nodiscard]] std::string text(const std::string& name) const;

    /**
     * @brief Returns a text setting that must not be empty.
     * @param name Flag without dashes.
     * @return The value.
     * @throws Error of kind invalidSetting when it is empty.
     */
    [[nodiscard]] std::string required(const std::string& name) const;

    /**
     * @brief Returns a number.
     * @param name Flag without dashes.
     * @return The value.
     * @throws Error of kind invalidSetting when it is not a number or is out of range.
     */
    [[nodiscard]] std::uint64_t number(const std::string& name) const;

private:
    struct Option;

    void add(const std::string& name, const std::string& description, Option option);

    std::string m_role;
    std::unique_ptr<TCLAP::CmdLine> m_commandLine;
    std::map<std::string, Option> m_options;
};

}
