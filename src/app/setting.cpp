#include "app/setting.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>
#include <tclap/CmdLine.h>

#include "app/version.h"
#include "core/check.h"
#include "core/result.h"
#include "net/address.h"

namespace guavabay {

namespace {

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::stringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

std::optional<std::int64_t> to_number(const std::string& text)
{
    std::int64_t number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (status != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::string help_of(const setting& one)
{
    std::string text = one.m_help;
    const std::string range = range_of(one);
    if (!range.empty()) {
        text += " Allowed: " + range + ".";
    }
    text += one.m_required ? " Required."
                           : " Default: " + (one.m_default.empty() ? "none" : one.m_default) + ".";
    return text + " Variable: " + variable_of(one) + ".";
}

/// The value of a setting from the flag, the environment or the default; empty with a reason.
std::optional<std::string> choose(const setting& one, const TCLAP::ValueArg<std::string>& flag)
{
    std::string source = "--" + one.m_name;
    std::optional<std::string> value;
    const char* variable = std::getenv(variable_of(one).c_str());
    if (flag.isSet()) {
        value = flag.getValue();
    }
    else if (variable != nullptr) {
        source = variable_of(one);
        value = variable;
    }
    else if (!one.m_required) {
        return one.m_default;
    }
    if (!value) {
        return fail("--" + one.m_name + " (or " + variable_of(one) + ") is missing");
    }
    const std::string fault = fault_of(one, *value);
    if (!fault.empty()) {
        return fail(source + ": " + fault);
    }
    return value;
}

} // namespace

setting text_setting(std::string name, std::string fallback, std::string help)
{
    return {std::move(name),
            setting_kind::text,
            std::move(fallback),
            false,
            0,
            0,
            "",
            std::move(help),
            {}};
}

setting required_setting(std::string name, setting_kind kind, std::string help)
{
    return {std::move(name), kind, "", true, 0, 0, "", std::move(help), {}};
}

setting number_setting(std::string name, std::int64_t fallback, std::int64_t low, std::int64_t high,
                       std::string unit, std::string help)
{
    return {std::move(name),
            setting_kind::number,
            std::to_string(fallback),
            false,
            low,
            high,
            std::move(unit),
            std::move(help),
            {}};
}

const std::string& setting_values::text(const std::string& name) const
{
    const auto found = m_values.find(name);
    check(found != m_values.end(), "the setting is declared");
    return found->second;
}

std::int64_t setting_values::number(const std::string& name) const
{
    const std::optional<std::int64_t> value = to_number(text(name));
    check(value.has_value(), "a number setting was checked");
    return *value;
}

std::vector<std::string> setting_values::list(const std::string& name) const
{
    return split(text(name));
}

std::string variable_of(const setting& one)
{
    std::string name = "GUAVABAY_";
    for (const char c : one.m_name) {
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return name;
}

std::string range_of(const setting& one)
{
    std::string text;
    switch (one.m_kind) {
    case setting_kind::number:
        text = std::to_string(one.m_low) + " to " + std::to_string(one.m_high);
        return one.m_unit.empty() ? text : text + " " + one.m_unit;
    case setting_kind::address:
        return "IP:PORT";
    case setting_kind::address_list:
        return "IP:PORT,IP:PORT,...";
    case setting_kind::word:
        for (const std::string& word : one.m_words) {
            text += text.empty() ? word : ", " + word;
        }
        return text;
    case setting_kind::text:
        break;
    }
    return text;
}

std::string fault_of(const setting& one, const std::string& value)
{
    std::string allowed = "'" + value + "' is not allowed; allowed: " + range_of(one);
    switch (one.m_kind) {
    case setting_kind::number: {
        const std::optional<std::int64_t> number = to_number(value);
        return number && *number >= one.m_low && *number <= one.m_high ? "" : allowed;
    }
    case setting_kind::address:
        return parse_address(value) ? "" : allowed;
    case setting_kind::address_list:
        for (const std::string& part : split(value)) {
            if (!parse_address(part)) {
                return allowed;
            }
        }
        return "";
    case setting_kind::word: {
        const bool known =
            std::find(one.m_words.begin(), one.m_words.end(), value) != one.m_words.end();
        return known ? "" : allowed;
    }
    case setting_kind::text:
        return value.empty() && one.m_required ? "must not be empty" : "";
    }
    return "";
}

std::optional<parsed_command> parse_command(const std::string& command,
                                            const std::string& description,
                                            const std::vector<setting>& settings,
                                            const std::string& operand_name,
                                            const std::vector<std::string>& arguments)
{
    TCLAP::CmdLine line(description, ' ', program_version);
    line.setExceptionHandling(false);
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> flags;
    flags.reserve(settings.size());
    for (const setting& one : settings) {
        flags.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
            "", one.m_name, help_of(one), false, "", one.m_unit.empty() ? "value" : one.m_unit,
            line));
    }
    TCLAP::UnlabeledMultiArg<std::string> operands(
        "operands", operand_name.empty() ? "not used" : operand_name, false,
        operand_name.empty() ? "nothing" : operand_name);
    if (!operand_name.empty()) {
        line.add(operands);
    }
    std::vector<std::string> words{"guavabay " + command};
    words.insert(words.end(), arguments.begin(), arguments.end());
    try {
        line.parse(words);
    }
    catch (const TCLAP::ArgException& error) {
        return fail(error.argId() + ": " + error.error());
    }
    catch (const TCLAP::ExitException& end) {
        std::exit(end.getExitStatus());
    }
    parsed_command parsed;
    for (std::size_t i = 0; i < settings.size(); ++i) {
        std::optional<std::string> value = choose(settings[i], *flags[i]);
        if (!value) {
            return std::nullopt;
        }
        parsed.m_values.put(settings[i].m_name, std::move(*value));
    }
    parsed.m_operands = operands.getValue();
    return parsed;
}

} // namespace guavabay
