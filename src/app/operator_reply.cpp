#include "app/operator_reply.h"

#include <boost/json.hpp>
#include <iostream>

#include "app/exit_status.h"
#include "core/json_fields.h"
#include "core/result.h"

namespace guavabay {

namespace json = boost::json;

std::string path_of(const std::string& customer, const std::string& action)
{
    const std::string path = "/v1/contracts/" + customer;
    return action.empty() ? path : path + "/" + action;
}

std::string reason_in(const std::string& body)
{
    const std::optional<json::object> object = parse_json_object(body);
    if (!object) {
        return body;
    }
    std::string reason;
    for (const char* name : {"error", "text", "detail"}) {
        const std::string part = text_field(*object, name);
        reason += reason.empty() || part.empty() ? "" : ": ";
        reason += part;
    }
    return reason;
}

std::string error_in(const std::string& body)
{
    const std::optional<json::object> object = parse_json_object(body);
    return object ? text_field(*object, "error") : std::string();
}

std::vector<std::string> missing_in(const json::object& status)
{
    std::vector<std::string> missing;
    for (const json::value& entry : status.at("missing").as_array()) {
        missing.emplace_back(entry.as_string().c_str());
    }
    return missing;
}

int print_reply(operator_client& client, const operator_call& call)
{
    const std::optional<operator_reply> reply = client.call(call);
    if (!reply) {
        std::cerr << last_reason() << "\n";
        return exit_failure;
    }
    if (reply->m_status != ok_status) {
        std::cerr << reason_in(reply->m_body) << "\n";
        return exit_failure;
    }
    std::cout << reply->m_body << "\n";
    return exit_success;
}

} // namespace guavabay
