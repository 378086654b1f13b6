#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "fleet/task_board.h"

namespace guavabay {

/// How a customer's quota is divided between the pools in which its tasks run. What is lent in
/// total is never more than the contract grants, so pools start work without asking each other.
struct quota_record {
    std::map<pool_id, quota_amount> m_allocated;
    std::map<pool_id, quota_amount>
        m_unmet_demand; ///< What pools still need and others should return.
};

/// What one pool does with a customer's quota.
struct pool_quota_demand {
    pool_id m_pool;
    quota_amount m_grant;       ///< The whole quota of the contract.
    quota_amount m_used;        ///< By the pool's tasks that hold a worker.
    quota_amount m_blocked;     ///< By the pool's tasks that wait for the quota.
    quota_amount m_single_task; ///< By one such task; a smaller part is of no use.
};

/// Reads a quota's record; empty with a reason when malformed.
std::optional<quota_record> parse_quota(const std::string& value);

/// Writes a quota's record.
std::string format_quota(const quota_record& record);

/// Divides a quota anew for one pool: it gets what it uses and needs, up to what is not lent to
/// others, and no more than an equal part, or one task, while others want some. Entries of pools
/// that no longer exist are dropped.
quota_record reallocate_quota(quota_record record, const pool_quota_demand& position,
                              const std::set<pool_id>& pools);

/// True when nothing of an amount is left.
bool is_zero(const quota_amount& amount);

} // namespace guavabay
