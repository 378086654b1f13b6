#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "contract/contract.h"
#include "core/time.h"
#include "fleet/fleet_host.h"
#include "fleet/resources.h"
#include "fleet/usage_model.h"

namespace guavabay {

/// Where a task is in its life. The last three are final.
enum class task_state : std::uint8_t {
    waiting,
    starting, ///< Its start was sent and not confirmed.
    running,
    checkpointing, ///< Saves its state, then waits again.
    done,
    cancelled,
    refused, ///< Can never run, or failed on several sound workers.
};

/// Work that a customer wants run once.
struct task {
    task_id m_id;
    customer_id m_customer;
    std::string m_kind;
    pool_id m_pool;
    resources m_declared;
    bool m_urgent = false;
    bool m_cancel_requested = false; ///< An operator has ended the task; it is never started again.
    bool m_throttled = false;        ///< May use no more than what is reserved for it.
    time_point m_submitted_at{};
    task_state m_state = task_state::waiting;
    std::string m_reason; ///< Why it waits or was refused.
    worker_id m_worker;   ///< Where it is; empty while it waits.
    resources m_reserved;
    std::uint64_t m_attempt = 0; ///< Fences runs: reports of an older attempt are ignored.
    time_point m_started_at{};
    std::set<worker_id> m_failed_on;
    std::uint32_t m_worker_losses = 0;
    resources m_used;        ///< As last reported; lags.
    worker_id m_stopping_on; ///< Where a cancelled run has not been reported as ended.
    revision m_revision;     ///< Of the record in the store.
};

/// A worker as the placement sees it.
struct worker_state {
    worker_id m_id;
    pool_id m_pool;
    resources m_capacity;
    resources m_free;
    bool m_accepting = true;
    std::set<task_id> m_tasks;
    std::map<task_id, std::pair<customer_id, std::string>>
        m_failed_tasks; ///< Tasks that failed here since the last success, with their kinds.
    time_point m_quarantined_until{};
    std::uint32_t m_quarantines = 0;
};

/// What a customer uses of its quota.
struct quota_amount {
    std::uint32_t m_running = 0;
    resources m_reserved;
};

/// An order to the platform. The attempt makes it safe to repeat.
struct task_order {
    enum class verb : std::uint8_t { start, checkpoint, stop };

    verb m_verb = verb::start;
    task_id m_task;
    worker_id m_worker;
    std::uint64_t m_attempt = 0;
};

/// All tasks and workers of the fleet.
struct task_board {
    std::unordered_map<task_id, task> m_tasks;
    std::map<worker_id, worker_state> m_workers;
    std::map<customer_id, task_grant> m_quotas;
    std::map<customer_id, quota_amount> m_quota_usage;
    bool m_shares_quotas = false; ///< Other boards start work under the same quotas.
    std::map<customer_id, quota_amount>
        m_allocated; ///< Part of each quota that this board may use.
    usage_model m_usage;
    std::map<pool_id, std::set<std::pair<std::int64_t, worker_id>>>
        m_workers_by_free_cores; ///< By free cores.
    std::map<pool_id, std::deque<task_id>> m_urgent_queues;
    std::map<pool_id, std::deque<task_id>> m_normal_queues;
    std::map<customer_id, std::set<task_id>> m_blocked; ///< Waiting for the customer's quota.
    std::vector<task_id>
        m_changed_tasks; ///< Tasks whose record is out of date; the user empties it.
};

/// The whole quota of a contract.
quota_amount to_quota_amount(const task_grant& grant);

/// Why a task can never run on any of the given capacities under a grant; empty when it can.
std::string find_impossible_reason(const task& one, const task_grant& grant,
                                   const std::vector<resources>& capacities);

/// Adds a worker, or changes what it offers.
void add_or_update_worker(task_board& board, const worker_id& id, const pool_id& pool,
                          const resources& capacity, bool accepting);

/// Takes a task in. One that can never run is refused with the constraint that fails.
void submit_task(task_board& board, task wanted, time_point now);

/// Ends a task for good; a task that has not started never will.
void cancel_task(task_board& board, const task_id& id, std::vector<task_order>& orders);

/// Starts what can start now; urgent tasks first, by preemption where nothing is free.
void place_tasks(task_board& board, time_point now, std::vector<task_order>& orders);

/// Notes that a start has taken effect. A start that is no longer wanted is stopped.
void on_task_started(task_board& board, const task_id& id, std::uint64_t attempt,
                     std::vector<task_order>& orders);

/// Notes that a task has saved its state and left its worker.
void on_task_checkpointed(task_board& board, const task_id& id, std::uint64_t attempt);

/// Notes that a task has ended well, and what it used.
void on_task_done(task_board& board, const task_id& id, std::uint64_t attempt,
                  const resources& used, time_point now);

/// Notes that a task has failed, and decides whether the worker or the task is at fault.
void on_task_failed(task_board& board, const task_id& id, std::uint64_t attempt, time_point now);

/// Notes that a worker is gone: its tasks wait again under a new attempt.
void on_worker_lost(task_board& board, const worker_id& id);

/// Changes the part of a customer's quota that this board may use.
void set_quota_allocation(task_board& board, const customer_id& customer, const quota_amount& lent);

/// Notes that the run of a cancelled task has ended.
void on_task_stopped(task_board& board, const task_id& id);

/// Tasks of a customer that may still run or start.
std::size_t count_open_tasks(const task_board& board, const customer_id& customer);

/// Why a task is where it is, for operators.
std::string explain_task(const task_board& board, const task_id& id);

} // namespace guavabay
