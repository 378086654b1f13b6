#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "config/config_view.h"
#include "fleet/quota_share.h"
#include "fleet/task_board.h"
#include "store/store.h"

namespace guavabay {

/// A write of a task's record that is under way.
struct task_write {
    task_id m_task;
    std::string m_value;
    time_point m_sent{};
};

/// What a pool's duty knows of a customer's quota.
struct quota_entry {
    revision m_revision;
    quota_record m_record;
    time_point m_surplus_since{}; ///< Since when more is lent than needed; the epoch when not.
    bool m_writing = false;
    config_record m_overtaking; ///< Read while a write was under way.
};

/// The duty of placing one pool's tasks, which one process has at a time.
struct task_duty {
    enum class stage : std::uint8_t { taking, reading, ready };

    stage m_stage = stage::taking;
    revision m_fence;         ///< Revision of the duty's record while this process holds it.
    std::uint64_t m_call = 0; ///< Call that takes the duty or reads; zero when none is under way.
    time_point m_call_sent{};
    time_point m_next_try{};
    bool m_reads_quotas = false; ///< The reading under way is of the quotas.
    revision m_seen;             ///< Position up to which the pool's records were read.
    revision m_quotas_seen;      ///< Position up to which the quotas' records were read.
    task_board m_board;
    std::map<std::uint64_t, task_write> m_writes;        ///< By the number of the call.
    std::map<task_id, std::uint64_t> m_writing;          ///< Call of each task's write.
    std::map<std::uint64_t, customer_id> m_quota_writes; ///< By the number of the call.
    std::map<customer_id, quota_entry> m_quotas;
    std::deque<std::pair<time_point, task_id>> m_finished; ///< Ended tasks, oldest end first.
    std::vector<config_record> m_read;                     ///< Records of the first reading.
    std::map<task_id, config_record> m_overtaking;         ///< Read while a write was under way.
    std::uint64_t m_fleet_version = 0; ///< Version of the fleet that the workers follow.
    config_view_ptr m_contracts;       ///< Contracts that the quotas follow.
    time_point m_next_contracts{};
    time_point m_next_place{};
    time_point m_next_share{};
    time_point m_next_quotas{};
    time_point m_next_demand{};
    bool m_place = true; ///< Something changed since tasks were placed last.
};

/// First part of the keys of a pool's tasks and runs.
std::string pool_prefix(const pool_id& pool);

/// The key of a task's record.
std::string task_key(const pool_id& pool, const task_id& id);

/// The key under which the platform reports a task's run.
std::string run_key(const pool_id& pool, const task_id& id);

/// The key of the record that says who places a pool's tasks.
std::string task_duty_key(const pool_id& pool);

/// First part of the keys of quotas.
inline constexpr std::string_view quota_prefix = "~quota/";

} // namespace guavabay
