#include "dispatch/request_notes.h"

#include "platform/caller_calls.h"

namespace guavabay {

namespace {

/// A cancellation that took longer is logged also when it was done.
constexpr milliseconds slow_cancellation{500};

/// Longest text of a caller that a log line repeats.
constexpr std::size_t max_quoted_length = 120;

/// The fields that the lines about requests have in common.
std::string describe(const request_note& note)
{
    return " id=" + note.m_id.str() + " queue=" + note.m_queue.str() +
           " service=" + note.m_service.str() +
           " owner=" + (note.m_owner.empty() ? "none" : note.m_owner) +
           " answer=" + std::to_string(static_cast<int>(note.m_answer)) +
           " after_ms=" + std::to_string(static_cast<std::int64_t>(to_milliseconds(note.m_time))) +
           " config=" + std::to_string(note.m_config_version);
}

} // namespace

std::string describe_cancellation(const request_note& note)
{
    if (note.m_answer == owner_answer::done && note.m_time <= slow_cancellation) {
        return {};
    }
    return "dispatch: cancellation not done at once" + describe(note);
}

std::string describe_unknown_id(const request_note& note, remembered_keys& noted, time_point now)
{
    if (!remember(noted, note.m_method + " " + note.m_service.str() + " " + note.m_id.str(), now)) {
        return {};
    }
    return "dispatch: id not known method=" + note.m_method + describe(note);
}

std::string describe_missing_route(std::string_view method, std::string_view host,
                                   std::string_view path, const operator_config& config,
                                   remembered_keys& noted, time_point now)
{
    const std::string_view last = path.substr(path.rfind('/') + 1);
    if (!platform::is_submission_id(last)) {
        return {};
    }
    const std::string what = std::string(method.substr(0, max_quoted_length)) + " " +
                             std::string(host.substr(0, max_quoted_length)) + " " +
                             std::string(path.substr(0, max_quoted_length));
    if (!remember(noted, what, now)) {
        return {};
    }
    return "dispatch: no route for an id method=" +
           std::string(method.substr(0, max_quoted_length)) + " id=" + std::string(last) +
           " host=" + std::string(host.substr(0, max_quoted_length)) +
           " path=" + std::string(path.substr(0, max_quoted_length)) +
           " config=" + std::to_string(config.m_version) +
           " routes=" + std::to_string(config.m_routes.size());
}

} // namespace guavabay
