#include "schedule/incarnation_guard.h"

#include <algorithm>

namespace guavabay {

void begin_guard(incarnation_guard& guard)
{
    guard.m_token_pending = true;
    guard.m_complete = false;
    guard.m_token_used_at = {};
    guard.m_settled_start_ms = 0;
    guard.m_settles_at = {};
}

void set_guard_token(incarnation_guard& guard, fencing_token token)
{
    guard.m_token = std::max(guard.m_token, token);
    guard.m_token_pending = false;
}

void note_hold_prepared(incarnation_guard& guard, time_point now)
{
    if (!guard.m_complete && !guard.m_token_pending && guard.m_token_used_at == time_point{}) {
        guard.m_token_used_at = now;
    }
}

bool note_answer(incarnation_guard& guard, std::int64_t start_ms, time_point sent, time_point now,
                 duration longest_lease)
{
    const bool was_open = !guard.m_complete;
    if (was_open && guard.m_token_used_at != time_point{} && sent >= guard.m_token_used_at) {
        guard.m_complete = true;
    }
    if (guard.m_complete && guard.m_settled_start_ms != start_ms &&
        guard.m_settles_at == time_point{}) {
        guard.m_settles_at = now + longest_lease;
        return true;
    }
    return was_open;
}

bool settle(incarnation_guard& guard, std::int64_t start_ms, time_point now)
{
    if (guard.m_settles_at == time_point{} || now < guard.m_settles_at) {
        return false;
    }
    guard.m_settles_at = {};
    guard.m_settled_start_ms = start_ms;
    return true;
}

} // namespace guavabay
