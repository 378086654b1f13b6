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

/// State of a task. The last three states are final. The values index the state names in
/// task_record.cpp, so the order must not change.
enum class task_state : std::uint8_t {
    waiting,
    starting, ///< A start order was issued and has not been confirmed.
    running,
    checkpointing, ///< Is saving its state; returns to waiting afterwards.
    done,
    cancelled,
    refused, ///< Can never run, or has failed on too many workers.
};

/// A unit of work that a customer submitted to be run to completion once, on one worker.
struct task {
    task_id m_id;
    customer_id m_customer;
    std::string m_kind; ///< Kind of work, as named by the customer; usage is learned per kind.
    pool_id m_pool;
    resources m_declared;            ///< Needs that the submission states.
    bool m_urgent = false;           ///< Placed before other tasks and may preempt them.
    bool m_cancel_requested = false; ///< An operator cancelled the task; it is never started again.
    bool m_throttled = false;        ///< Limited to the cores that are reserved for it.
    time_point m_submitted_at{};
    task_state m_state = task_state::waiting;
    std::string m_reason;            ///< Explains the state to operators; stored with the task.
    worker_id m_worker;              ///< Worker that holds the task; empty if none does.
    resources m_reserved;            ///< Taken from the worker and the quota for the current run.
    std::uint64_t m_attempt = 0;     ///< Number of starts; reports of earlier attempts are ignored.
    time_point m_started_at{};       ///< Time of the last start order, or of reading the record.
    std::set<worker_id> m_failed_on; ///< Workers on which it failed; it is not placed there again.
    std::uint32_t m_worker_losses = 0; ///< Number of runs that ended with the loss of the worker.
    resources m_used;                  ///< Usage in the most recent report of the current run.
    worker_id m_stopping_on; ///< Worker of a cancelled run that is not yet reported as ended.
    revision m_revision;     ///< Revision of the task's record in the store.
};

/// A worker of a pool with its capacity, its tasks and its recent failures.
struct worker_state {
    worker_id m_id;
    pool_id m_pool;
    resources m_capacity;
    resources m_free;
    bool m_accepting = true;   ///< False while the worker may get no new tasks.
    std::set<task_id> m_tasks; ///< Tasks that hold the worker.
    std::map<task_id, std::pair<customer_id, std::string>>
        m_failed_tasks; ///< Tasks that failed here since a task last succeeded, with customer and
                        ///< kind.
    time_point m_quarantined_until{};
    std::uint32_t m_quarantines = 0; ///< Quarantines since a task last succeeded here.
};

/// An amount of a customer's quota: a number of running tasks and the resources that are reserved
/// for them. Used for whole quotas, parts of them and their usage alike.
struct quota_amount {
    std::uint32_t m_running = 0;
    resources m_reserved;
};

/// An order to the platform. Repeating it is harmless because it names the attempt.
struct task_order {
    enum class verb : std::uint8_t { start, checkpoint, stop };

    verb m_verb = verb::start;
    task_id m_task;
    worker_id m_worker;
    std::uint64_t m_attempt = 0;
};

/// Tasks and workers that one process places, with the queues and indexes that placement needs.
/// The functions below change it and keep the indexes consistent.
struct task_board {
    std::unordered_map<task_id, task> m_tasks;
    std::map<worker_id, worker_state> m_workers;
    std::map<customer_id, task_grant> m_quotas;        ///< Grants of the contracts in force.
    std::map<customer_id, quota_amount> m_quota_usage; ///< Held by tasks on workers.
    bool m_shares_quotas = false; ///< True if other boards start tasks under the same quotas.
    std::map<customer_id, quota_amount> m_allocated; ///< Part of each quota that this board may
                                                     ///< use; ignored unless quotas are shared.
    usage_model m_usage;
    std::map<pool_id, std::set<std::pair<std::int64_t, worker_id>>>
        m_workers_by_free_cores; ///< Workers that accept tasks, by free thousandths of a core.
    std::map<pool_id, std::deque<task_id>> m_urgent_queues;
    std::map<pool_id, std::deque<task_id>> m_normal_queues;
    std::map<customer_id, std::set<task_id>>
        m_blocked;                        ///< Tasks that wait for quota and are in no queue.
    std::vector<task_id> m_changed_tasks; ///< Tasks whose stored record is out of date; the caller
                                          ///< writes them and clears the list.
};

/// Converts the task grant of a contract to an amount of quota.
quota_amount to_quota_amount(const task_grant& grant);

/// Returns why a task can never run under a grant on workers of the given capacities; empty if it
/// can run.
std::string find_impossible_reason(const task& task_entry, const task_grant& grant,
                                   const std::vector<resources>& capacities);

/// Adds a worker, or updates its pool, its capacity and whether it accepts tasks. Tasks that it
/// already holds stay.
void add_or_update_worker(task_board& board, const worker_id& id, const pool_id& pool,
                          const resources& capacity, bool accepting);

/// Adds a task and queues it. A task that can never run is refused, with the violated constraint as
/// its reason. Does nothing if the id is already known.
void submit_task(task_board& board, task submitted, time_point now);

/// Cancels a task that is not final and orders its run, if any, to be stopped. The task is never
/// started afterwards.
void cancel_task(task_board& board, const task_id& id, std::vector<task_order>& orders);

/// Starts the waiting tasks for which a worker and quota are available. Urgent tasks come first and
/// preempt others if no worker has room; other tasks of a pool wait while urgent ones are queued.
void place_tasks(task_board& board, time_point now, std::vector<task_order>& orders);

/// Handles the report that an attempt has started. Orders a stop if the attempt is no longer the
/// current one. The other report handlers ignore attempts that are not current.
void on_task_started(task_board& board, const task_id& id, std::uint64_t attempt,
                     std::vector<task_order>& orders);

/// Handles the report that a task has saved its state and left its worker, and queues it again.
void on_task_checkpointed(task_board& board, const task_id& id, std::uint64_t attempt);

/// Handles the report that a task has succeeded and records its usage for later reservations.
void on_task_done(task_board& board, const task_id& id, std::uint64_t attempt,
                  const resources& used, time_point now);

/// Handles the report that a task has failed. The task is queued for another worker, or refused if
/// it failed on several workers that are not quarantined. The worker is quarantined if several
/// tasks failed there whose kinds have succeeded before.
void on_task_failed(task_board& board, const task_id& id, std::uint64_t attempt, time_point now);

/// Removes a worker that is lost. Its tasks are queued again and get a new attempt when started.
void on_worker_lost(task_board& board, const worker_id& id);

/// Sets the part of a customer's quota that this board may use, and queues the tasks again that
/// wait for quota.
void set_quota_allocation(task_board& board, const customer_id& customer,
                          const quota_amount& allocated);

/// Handles the report that the run of a cancelled task has ended.
void on_task_stopped(task_board& board, const task_id& id);

/// Returns the number of a customer's tasks that may still start or run, including cancelled ones
/// whose run has not been reported as ended.
std::size_t count_open_tasks(const task_board& board, const customer_id& customer);

/// Describes a task's state, worker and reason for operators. The texts are part of answer bodies.
std::string explain_task(const task_board& board, const task_id& id);

} // namespace guavabay
