#include "edge/answers.h"

#include <boost/json.hpp>

namespace guavabay {

namespace json = boost::json;

string_response make_answer(http::status status, const std::string& content_type, std::string body)
{
    string_response response(status, 11);
    response.set(http::field::content_type, content_type);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

string_response make_error_answer(error_kind kind, const std::string& request_name,
                                  const std::string& detail)
{
    const error_answer& row = answer_for(kind);
    const std::string_view ran = to_string(row.m_ran);
    json::object body{{"error", std::string(row.m_name)},
                      {"ran", std::string(ran)},
                      {"text", std::string(row.m_text)}};
    if (!request_name.empty()) {
        body["request"] = request_name;
    }
    if (!detail.empty()) {
        body["detail"] = detail;
    }
    string_response response = make_answer(static_cast<http::status>(row.m_http_status),
                                           "application/json", json::serialize(body));
    if (row.m_retry_after_seconds > 0) {
        response.set(http::field::retry_after, std::to_string(row.m_retry_after_seconds));
    }
    return response;
}

} // namespace guavabay
