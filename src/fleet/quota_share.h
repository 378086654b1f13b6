#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "fleet/task_board.h"

namespace guavabay {

/// Division of a customer's quota between the pools that run its tasks, as kept in the store.
/// Reallocation does not raise the total above the contract's grant, so each pool starts tasks
/// within its allocation without asking the others.
struct quota_record {
    std::map<pool_id, quota_amount> m_allocated;
    std::map<pool_id, quota_amount>
        m_unmet_demand; ///< What pools need beyond their allocation; others give back.
};

/// Quota that one pool uses and needs for a customer.
struct pool_quota_demand {
    pool_id m_pool;
    quota_amount m_grant;       ///< Whole quota of the contract.
    quota_amount m_used;        ///< Reserved by the pool's tasks that hold a worker.
    quota_amount m_blocked;     ///< Needed by the pool's tasks that wait for quota.
    quota_amount m_single_task; ///< Needed by one waiting task; less starts nothing.
};

/// Parses a stored quota record. Returns nullopt and sets the failure reason if the value is not a
/// JSON object. Missing or malformed members count as zero.
std::optional<quota_record> parse_quota(const std::string& value);

/// Serializes a quota record for the store.
std::string format_quota(const quota_record& record);

/// Recomputes one pool's allocation. The pool keeps what it uses and gets what it needs from the
/// part that is not allocated to others. While other pools have unmet demand, it gets no more than
/// the largest of its usage, one task's need and an equal share. `pools` lists the existing pools;
/// entries of other pools are removed.
quota_record reallocate_quota(quota_record record, const pool_quota_demand& demand,
                              const std::set<pool_id>& pools);

/// Returns true if every component of an amount is zero.
bool is_zero(const quota_amount& amount);

} // namespace guavabay
