#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace guavabay {

/// Parses text to a JSON object; empty with a reason otherwise.
std::optional<boost::json::object> parse_json_object(std::string_view text);

/// The text of a string member; empty when it is absent or of another type.
std::string text_field(const boost::json::object& object, std::string_view name);

/// A whole number member, also one written as a string; zero when it is absent or of another type.
std::int64_t number_field(const boost::json::object& object, std::string_view name);

/// A number member with a fraction; the fallback when it is absent or of another type.
double real_field(const boost::json::object& object, std::string_view name, double fallback);

/// A true or false member; false when it is absent or of another type.
bool flag_field(const boost::json::object& object, std::string_view name);

} // namespace guavabay
