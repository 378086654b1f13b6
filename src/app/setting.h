#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavabay {

/// How the text of a setting is checked.
enum class setting_kind : std::uint8_t { text, number, address, address_list, word };

/// One setting of a command: a flag, an environment variable, a range and a default.
struct setting {
    std::string m_name; ///< Name of the flag; the variable is GUAVABAY_ and the name in capitals.
    setting_kind m_kind = setting_kind::text;
    std::string m_default; ///< Ignored for a required setting.
    bool m_required = false;
    std::int64_t m_low = 0;
    std::int64_t m_high = 0;
    std::string m_unit;
    std::string m_help;
    std::vector<std::string> m_words; ///< Allowed words of a word setting.
};

/// Declares a setting of any text that may be left out.
setting text_setting(std::string name, std::string fallback, std::string help);

/// Declares a setting that has to be given.
setting required_setting(std::string name, setting_kind kind, std::string help);

/// Declares a whole number in a range, both ends allowed.
setting number_setting(std::string name, std::int64_t fallback, std::int64_t low, std::int64_t high,
                       std::string unit, std::string help);

/// The values of all settings of a command, checked.
class setting_values {
public:
    /// Stores a checked value.
    void put(const std::string& name, std::string value) { m_values[name] = std::move(value); }

    /// The text of a setting.
    [[nodiscard]] const std::string& text(const std::string& name) const;

    /// The value of a number setting.
    [[nodiscard]] std::int64_t number(const std::string& name) const;

    /// The parts of a list setting.
    [[nodiscard]] std::vector<std::string> list(const std::string& name) const;

private:
    std::map<std::string, std::string> m_values;
};

/// The environment variable of a setting.
std::string variable_of(const setting& one);

/// Says what is wrong with a value, with the allowed range; empty when it is allowed.
std::string fault_of(const setting& one, const std::string& value);

/// A description of the allowed values.
std::string range_of(const setting& one);

/// What a command line came to.
struct parsed_command {
    setting_values m_values;
    std::vector<std::string> m_operands; ///< Words that are not flags, such as file names.
};

/// Reads a command line and the environment; the flag wins. Gives nothing with a reason when a
/// setting is unknown, missing, malformed or out of range. Prints help or the version and ends
/// the program when these are asked for.
std::optional<parsed_command> parse_command(const std::string& command,
                                            const std::string& description,
                                            const std::vector<setting>& settings,
                                            const std::string& operand_name,
                                            const std::vector<std::string>& arguments);

} // namespace guavabay
