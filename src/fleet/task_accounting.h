#pragma once

#include <string>

#include "fleet/task_board.h"

namespace guavabay {

/// Returns true if a task in this state never changes state again.
bool is_final(task_state state);

/// Returns true if a task in this state occupies resources of a worker.
bool holds_worker(task_state state);

/// Returns true while a worker gets no tasks because too many failed on it.
bool is_quarantined(const worker_state& worker, time_point now);

/// Removes a worker from the index of free cores. Call it before the worker's free resources, pool
/// or accepting flag change.
void remove_from_free_index(task_board& board, const worker_state& worker);

/// Adds a worker to the index of free cores if it accepts tasks.
void add_to_free_index(task_board& board, const worker_state& worker);

/// Queues the tasks again that wait for a customer's quota.
void requeue_blocked_tasks(task_board& board, const customer_id& customer);

/// Appends a task to the queue of its pool.
void enqueue_task(task_board& board, const task& task_entry);

/// Returns a task's reserved resources to its worker and to its customer's quota. Does nothing if
/// the task holds no worker; the caller sets the new state.
void release_reservation(task_board& board, task& task_entry);

/// Releases a task's reservation and puts it back into the queue of its pool.
void requeue_task(task_board& board, task& task_entry, std::string reason);

/// Releases a task's reservation and refuses it, which is final.
void refuse_task(task_board& board, task& task_entry, std::string reason);

} // namespace guavabay
