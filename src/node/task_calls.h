#pragma once

#include "node/node_state.h"

namespace guavabay {

/// Starts an operator's call about a task. Submissions and cancellations are taken by every
/// process; lists and explanations come from the process that places the pool's tasks.
void on_task_request(node_state& node, const operator_request& request, time_point now,
                     wall_time wall, node_output& out);

/// Takes the result of a store call of a task call; false when it belongs to none.
bool on_task_call_result(node_state& node, const store_result& result, time_point now,
                         node_output& out);

/// Repeats store calls whose outcome is not known, and answers operators whose time is up.
void on_task_call_tick(node_state& node, time_point now, node_output& out);

} // namespace guavabay
