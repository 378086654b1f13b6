#include "app/reference.h"

#include "core/error_kind.h"

namespace guavabay {

std::string describe_settings(const std::vector<setting>& settings)
{
    std::string text = "| flag | variable | range | default | meaning |\n"
                       "| --- | --- | --- | --- | --- |\n";
    for (const setting& one : settings) {
        const std::string fallback = one.m_required          ? "required"
                                     : one.m_default.empty() ? "none"
                                                             : one.m_default;
        const std::string range = range_of(one);
        text += "| `--" + one.m_name + "` | `" + variable_of(one) + "` | " +
                (range.empty() ? "text" : range) + " | " + fallback + " | " + one.m_help + " |\n";
    }
    return text;
}

std::string describe_errors()
{
    std::string text = "| kind | status | ran | Retry-After | meaning |\n"
                       "| --- | --- | --- | --- | --- |\n";
    for (const error_answer& row : error_answers()) {
        const unsigned wait = row.m_retry_after_seconds;
        text += "| `" + std::string(row.m_name) + "` | " + std::to_string(row.m_http_status) +
                " | " + std::string(to_string(row.m_ran)) + " | " +
                (wait == 0 ? "none" : std::to_string(wait) + " s") + " | " +
                std::string(row.m_text) + " |\n";
    }
    return text;
}

} // namespace guavabay
