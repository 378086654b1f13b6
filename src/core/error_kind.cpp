#include "core/error_kind.h"

#include "core/check.h"

namespace guavabay {

namespace {

using enum error_kind;
using enum ran_state;

constexpr std::array<error_answer, error_kind_count> table{{
    {bad_request, "bad_request", 400, no, 0, "The request is malformed."},
    {request_too_large, "request_too_large", 413, no, 0, "The request exceeds a size limit."},
    {unauthorized, "unauthorized", 401, no, 0, "The key is missing or wrong."},
    {no_contract, "no_contract", 403, no, 0, "No contract grants access to this key."},
    {access_not_begun, "access_not_begun", 403, no, 0, "The contract's access has not begun."},
    {access_ended, "access_ended", 403, no, 0, "The contract's access has ended."},
    {unknown_service, "unknown_service", 404, no, 0, "The contract names no such service."},
    {rate_exceeded, "rate_exceeded", 429, no, 1, "The contract's rate limit is used up."},
    {queue_full, "queue_full", 429, no, 1, "The customer's queue is full."},
    {deadline_unreachable, "deadline_unreachable", 503, no, 2,
     "The request cannot be served before its deadline."},
    {deadline_expired, "deadline_expired", 503, no, 2,
     "The deadline passed while the request waited."},
    {no_endpoint, "no_endpoint", 503, no, 2, "The service has no usable endpoint."},
    {owner_unreachable, "owner_unreachable", 503, no, 1,
     "The process that must decide cannot be reached."},
    {isolated, "isolated", 503, no, 1, "This host can reach neither the store nor its peers."},
    {not_ready, "not_ready", 503, no, 1, "This process does not have the configuration yet."},
    {stopping, "stopping", 503, no, 1, "This process is stopping."},
    {overloaded, "overloaded", 503, no, 1, "This process is out of buffers."},
    {endpoint_unreachable, "endpoint_unreachable", 502, no, 1,
     "No endpoint took the request within its deadline."},
    {answer_lost, "answer_lost", 502, unknown, 0, "The connection broke before the answer came."},
    {answer_timeout, "answer_timeout", 504, unknown, 0, "No answer came in time."},
    {answer_truncated, "answer_truncated", 502, unknown, 0, "The answer was incomplete."},
    {answer_too_large, "answer_too_large", 502, yes, 0, "The answer exceeds the size limit."},
    {duplicate_running, "duplicate_running", 409, unknown, 1,
     "A request with this idempotency key is running."},
    {duplicate_done, "duplicate_done", 409, yes, 0, "A request with this idempotency key has run."},
    {past_unknown, "past_unknown", 409, unknown, 0,
     "Whether a request with this idempotency key ran before is not known."},
    {key_reused, "key_reused", 422, no, 0, "The idempotency key was used with another request."},
    {invalid_contract, "invalid_contract", 422, no, 0, "The contract is not valid."},
    {not_found, "not_found", 404, no, 0, "There is no such record."},
    {version_conflict, "version_conflict", 409, no, 0, "The record was changed by another."},
    {store_unavailable, "store_unavailable", 503, no, 2, "The store does not answer."},
    {outcome_unknown, "outcome_unknown", 504, unknown, 1,
     "Whether the change took effect is not known."},
    {budget_broken, "budget_broken", 409, no, 0, "The change would break a budget."},
    {task_impossible, "task_impossible", 422, no, 0, "The task can never run."},
    {task_differs, "task_differs", 409, no, 0, "Another task has this name."},
}};

constexpr bool table_is_ordered()
{
    for (std::size_t i = 0; i < table.size(); ++i) {
        if (static_cast<std::size_t>(table[i].m_kind) != i) {
            return false;
        }
    }
    return true;
}

static_assert(table_is_ordered(), "the table follows the order of the enumeration");

} // namespace

const error_answer& answer_for(error_kind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    check(index < table.size(), "error kind is in the table");
    return table[index];
}

const std::array<error_answer, error_kind_count>& error_answers()
{
    return table;
}

std::string_view to_string(ran_state state)
{
    switch (state) {
    case no:
        return "no";
    case unknown:
        return "unknown";
    case yes:
        return "yes";
    }
    return "unknown";
}

} // namespace guavabay
