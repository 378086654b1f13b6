#pragma once

#include <string>

#include "fleet/task_board.h"

namespace guavabay {

/// True when a task's state does not change any more.
bool is_final(task_state state);

/// True when a task in this state has room on a worker.
bool holds_worker(task_state state);

/// True while a worker is kept out of use.
bool is_quarantined(const worker_state& worker, time_point now);

/// Takes a worker out of the index before what it has free changes.
void remove_from_free_index(task_board& board, const worker_state& worker);

/// Puts a worker into the index by what it has free.
void add_to_free_index(task_board& board, const worker_state& worker);

/// Gives the tasks that wait for a customer's quota their turn again.
void requeue_blocked_tasks(task_board& board, const customer_id& customer);

/// Appends a task to the queue of its pool.
void enqueue_task(task_board& board, const task& one);

/// Gives back what a task holds of its worker and of its customer's quota.
void release_reservation(task_board& board, task& one);

/// Gives back what a task holds and lets it wait for another turn.
void requeue_task(task_board& board, task& one, std::string reason);

/// Gives back what a task holds and ends it unrun.
void refuse_task(task_board& board, task& one, std::string reason);

} // namespace guavabay
