#pragma once

#include <string>

#include "fleet/task_board.h"

namespace guavabay {

/// Adds a task from its stored record. A task that holds a worker keeps the worker, the reservation
/// and the attempt; if the worker is unknown, the task is queued again.
void restore_task(task_board& board, task task_entry, time_point now);

/// Checkpoints every task that runs on a worker, so that the worker becomes empty. The caller has
/// set the worker to accept no tasks.
void drain_worker(task_board& board, const worker_id& id);

/// Records the reported usage of a running task. If the tasks of a worker together use more than
/// its capacity, those that exceed their reservation are throttled (cores) or checkpointed
/// (memory), largest excess first. Memory cannot be throttled, so the task has to leave the worker.
void on_task_usage(task_board& board, const task_id& id, std::uint64_t attempt,
                   const resources& used);

/// Estimates the number of workers of average capacity that the running and waiting tasks need.
/// Tasks that wait for quota are left out, since more workers would not start them.
double estimate_required_workers(const task_board& board);

/// Returns the total quota that a customer's blocked tasks need, that is, those waiting for quota.
quota_amount total_blocked_demand(const task_board& board, const customer_id& customer);

/// Returns the quota that one of a customer's blocked tasks needs, the first by id; zero if none is
/// blocked.
quota_amount first_blocked_demand(const task_board& board, const customer_id& customer);

} // namespace guavabay
