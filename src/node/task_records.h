#pragma once

#include "node/node_state.h"

namespace guavabay {

/// Puts everything that was read when the duty was taken onto the board.
void build_board(node_state& node, const pool_id& pool, task_duty& duty, time_point now);

/// Takes in records of a pool that changed: submissions, cancellations and the platform's reports.
void take_pool_records(const pool_id& pool, task_duty& duty,
                       const std::vector<config_record>& records, time_point now);

/// Writes the records of tasks that have changed, a limited number at a time.
void write_tasks(node_state& node, const pool_id& pool, task_duty& duty, time_point now,
                 node_output& out);

/// Takes the result of a task's write. False when another process has taken the duty.
bool on_task_write_result(const pool_id& pool, task_duty& duty, const store_result& result,
                          time_point now);

/// Brings the workers of a pool up to date with the fleet.
void follow_workers(const node_state& node, const pool_id& pool, task_duty& duty);

} // namespace guavabay
