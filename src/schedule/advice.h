#pragma once

#include "schedule/shard.h"

namespace guavabay {

/// A request to the advice service: which of the listed workers may run the tasks of a step?
struct advice_request {
    task_name m_step; ///< Names the step; the task index is zero.
    std::vector<worker_id> m_workers;
};

/// A worker that may run a step, with the ticket that each start order to it carries as proof.
struct worker_ticket {
    worker_id m_worker;
    std::string m_ticket;
};

/// Reply of the advice service: the permitted workers; each other worker of the request is denied.
struct advice_reply {
    std::vector<worker_ticket> m_permitted;
    milliseconds m_validity{0}; ///< Of the tickets; zero selects the contract's value.
};

/// Builds the next request and marks it as pending: for the first step in the ranking of
/// submissions that lacks tickets, steps that can start now before those that can start soon. Empty
/// while a request is pending, during the delay after a failed one, while the shard may not start
/// tasks, and when no step lacks tickets.
std::optional<advice_request> next_advice_request(shard& state, time_point now);

/// Stores the tickets and denials of a reply. An empty reply means that the request failed; it is
/// repeated after a delay.
void apply_advice_reply(shard& state, const advice_request& request,
                        const std::optional<advice_reply>& reply, time_point now);

/// Finds the ticket for starting a task on a worker. Null when there is none, or when it expires
/// before a start order could reach the worker. The pointer is valid until the advice changes.
const std::string* find_ticket(const shard& state, const task_name& task, const worker_id& worker,
                               time_point now);

/// Discards the ticket that a worker refused, so that a new one is requested.
void invalidate_ticket(shard& state, const task_name& task, const worker_id& worker);

/// Discards the tickets for a worker, which end with its incarnation, and the denials: the next
/// incarnation may be of another kind.
void forget_advice_about(shard& state, const worker_id& worker);

/// Erases the tickets and denials of a submission that has reached its final state.
void erase_advice(shard& state, const submission_id& id);

} // namespace guavabay
