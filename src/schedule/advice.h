#pragma once

#include "schedule/shard.h"

namespace guavabay {

/// A question to the advice service: which of these workers may run a step.
struct advice_request {
    task_name m_step; ///< Its index is zero.
    std::vector<worker_id> m_workers;
};

/// A worker that may run a step, with the proof that starts on it carry.
struct worker_ticket {
    worker_id m_worker;
    std::string m_ticket;
};

/// What the advice service answered.
struct advice_reply {
    std::vector<worker_ticket> m_permitted;
    milliseconds m_validity{0}; ///< Zero when it was not told.
};

/// The next question, for the step that comes first in the order of submissions; empty while one is
/// under way and when nothing has to be asked.
std::optional<advice_request> next_advice_request(shard& state, time_point now);

/// Takes an answer; an empty one means that there was none, and the question is asked again later.
void apply_advice_reply(shard& state, const advice_request& request,
                        const std::optional<advice_reply>& reply, time_point now);

/// The ticket that a start of a step's task on a worker carries; null when there is none that holds
/// long enough.
const std::string* find_ticket(const shard& state, const task_name& task, const worker_id& worker,
                               time_point now);

/// A worker refused a ticket: it is asked for again.
void invalidate_ticket(shard& state, const task_name& task, const worker_id& worker);

/// Lets go of the tickets of a submission that is over.
void erase_advice(shard& state, const submission_id& id);

} // namespace guavabay
