#pragma once

#include <string>
#include <string_view>

#include "core/remembered_keys.h"
#include "core/time.h"
#include "dispatch/operator_config.h"
#include "peer/host_message.h"

// Log lines of an entry host about requests that did not reach a submission.
namespace guavabay {

/// A request about one submission, and what its owner answered.
struct request_note {
    std::string m_method;
    submission_id m_id;
    queue_id m_queue;     ///< Of the route that was in force.
    service_id m_service; ///< The same.
    std::string m_owner;  ///< Host that was known to own the service; empty if there was none.
    owner_answer m_answer = owner_answer::unknown;
    duration m_time{};                 ///< From the request to the owner's answer.
    std::int64_t m_config_version = 0; ///< Of the configuration with the route.
};

/// Log line about a cancellation; empty if it was done without delay.
std::string describe_cancellation(const request_note& note);

/// Log line about an id that the service's owner does not know; empty if `noted` shows that the
/// same was logged before.
std::string describe_unknown_id(const request_note& note, remembered_keys& noted, time_point now);

/// Log line about a request that matched no route though its path ends with a submission's id;
/// empty for other paths, and if `noted` shows that the same was logged before.
std::string describe_missing_route(std::string_view method, std::string_view host,
                                   std::string_view path, const operator_config& config,
                                   remembered_keys& noted, time_point now);

} // namespace guavabay
