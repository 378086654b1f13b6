#pragma once

#include "node/node_state.h"

namespace guavabay {

/// Brings the quotas of a pool up to date with the contracts, and ends the tasks of customers whose
/// access is over.
void follow_task_contracts(const node_state& node, task_duty& duty, time_point now, wall_time wall);

/// Asks for a larger part of each quota for which tasks wait, and returns what is not needed.
void share_quotas(node_state& node, const pool_id& pool, task_duty& duty, time_point now,
                  node_output& out);

/// Takes in records of quotas that changed.
void take_quota_records(const pool_id& pool, task_duty& duty,
                        const std::vector<config_record>& records);

/// Takes the result of a quota's write. False when another process has taken the duty.
bool on_quota_write_result(const pool_id& pool, task_duty& duty, const store_result& result);

} // namespace guavabay
