#include "core/json_fields.h"

#include <boost/json.hpp>
#include <charconv>

#include "core/result.h"

namespace guavabay {

namespace json = boost::json;

namespace {

const json::value* find(const json::object& object, std::string_view name)
{
    return object.if_contains({name.data(), name.size()});
}

} // namespace

std::optional<json::object> parse_json_object(std::string_view text)
{
    boost::system::error_code error;
    json::value value = json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object()) {
        return fail("not a JSON object");
    }
    return value.get_object();
}

std::string text_field(const json::object& object, std::string_view name)
{
    const json::value* value = find(object, name);
    if (value == nullptr || !value->is_string()) {
        return {};
    }
    return {value->get_string().data(), value->get_string().size()};
}

std::int64_t number_field(const json::object& object, std::string_view name)
{
    const json::value* value = find(object, name);
    if (value == nullptr) {
        return 0;
    }
    if (value->is_int64()) {
        return value->get_int64();
    }
    std::int64_t number = 0;
    if (value->is_string()) {
        const json::string& text = value->get_string();
        std::from_chars(text.data(), text.data() + text.size(), number);
    }
    return number;
}

double real_field(const json::object& object, std::string_view name, double fallback)
{
    const json::value* value = find(object, name);
    return value == nullptr || !value->is_number() ? fallback : value->to_number<double>();
}

bool flag_field(const json::object& object, std::string_view name)
{
    const json::value* value = find(object, name);
    return value != nullptr && value->is_bool() && value->get_bool();
}

} // namespace guavabay
