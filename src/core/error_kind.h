#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace guavabay {

/// Every way in which a call of a caller or an operator can fail. The list is closed: an answer
/// that is not a success carries exactly one of these.
enum class error_kind : std::uint8_t {
    bad_request,
    request_too_large,
    unauthorized,
    no_contract,
    access_not_begun,
    access_ended,
    unknown_service,
    rate_exceeded,
    queue_full,
    deadline_unreachable,
    deadline_expired,
    no_endpoint,
    owner_unreachable,
    isolated,
    not_ready,
    stopping,
    overloaded,
    endpoint_unreachable,
    answer_lost,
    answer_timeout,
    answer_truncated,
    answer_too_large,
    duplicate_running,
    duplicate_done,
    past_unknown,
    key_reused,
    invalid_contract,
    not_found,
    version_conflict,
    store_unavailable,
    outcome_unknown,
    budget_broken,
    task_impossible,
    task_differs,
};

/// Number of error kinds.
inline constexpr std::size_t error_kind_count = 34;

/// What is known about whether the request ran at an endpoint.
enum class ran_state : std::uint8_t { no, unknown, yes };

/// One row of the table from error kind to answer.
struct error_answer {
    error_kind m_kind;
    std::string_view m_name;
    unsigned m_http_status;
    ran_state m_ran;
    unsigned m_retry_after_seconds; ///< Zero means that the answer advises no retry.
    std::string_view m_text;
};

/// The answer that goes with an error kind.
const error_answer& answer_for(error_kind kind);

/// The whole table, in the order of the enumeration.
const std::array<error_answer, error_kind_count>& error_answers();

/// The word used in answers for a run state: no, unknown or yes.
std::string_view to_string(ran_state state);

} // namespace guavabay
