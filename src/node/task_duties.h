#pragma once

#include "node/node_state.h"

namespace guavabay {

/// Takes the duty of placing the tasks of each pool that falls to this process, and places tasks,
/// writes their records and follows the platform's reports while it does.
void on_task_tick(node_state& node, time_point now, wall_time wall, node_output& out);

/// Takes the result of a call of one of the duties; false when it belongs to none.
bool on_task_result(node_state& node, const store_result& result, time_point now, node_output& out);

/// Reads a pool's records at the next tick.
void on_task_hint(node_state& node, const pool_id& pool);

/// The process to which a pool's duty falls; empty when there is none.
std::optional<host_id> task_duty_owner(const node_state& node, const pool_id& pool, time_point now);

/// The duty of a pool while this process holds it and knows all its tasks; null otherwise.
const task_duty* find_ready_duty(const node_state& node, const pool_id& pool);

/// The tasks of a customer that may still run or start in each pool of this process. A pool that
/// does not yet follow the given version of the contract is left out.
std::vector<pool_trace> list_open_tasks(const node_state& node, const customer_id& customer,
                                        revision version);

} // namespace guavabay
