#pragma once

#include <string>

#include "fleet/task_board.h"

namespace guavabay {

/// Puts a task that a record describes onto the board as it stands there: one that holds a worker
/// keeps its place, its reservation and its attempt.
void restore_task(task_board& board, task one, time_point now);

/// Saves every task that runs on a worker which takes no more work, so that it can be emptied.
void drain_worker(task_board& board, const worker_id& id);

/// Takes in what a running task uses. A worker on which more is used than it has is relieved:
/// tasks that use more cores than reserved are throttled, and those that use more memory are
/// saved, those furthest above their reservation first.
void on_task_usage(task_board& board, const task_id& id, std::uint64_t attempt,
                   const resources& used);

/// How many of the board's average workers its tasks need, running and waiting together.
double estimate_required_workers(const task_board& board);

/// What the tasks that wait for a customer's quota need of it in total.
quota_amount total_blocked_demand(const task_board& board, const customer_id& customer);

/// What one of the tasks that wait for a customer's quota needs.
quota_amount first_blocked_demand(const task_board& board, const customer_id& customer);

} // namespace guavabay
