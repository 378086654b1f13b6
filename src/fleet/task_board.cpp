#include "fleet/task_board.h"

#include <algorithm>

#include "fleet/task_accounting.h"
#include "fleet/task_record.h"

namespace guavabay {

namespace {

/// Lists the capacities of a pool's workers.
std::vector<resources> list_capacities(const task_board& board, const pool_id& pool)
{
    std::vector<resources> capacities;
    for (const auto& [id, worker] : board.m_workers) {
        if (worker.m_pool == pool) {
            capacities.push_back(worker.m_capacity);
        }
    }
    return capacities;
}

/// Names the resource that no worker has enough of, given the largest amount of each resource.
std::string describe_missing_resource(const resources& required, const resources& largest)
{
    if (required.m_accelerators > largest.m_accelerators) {
        return "no worker of the pool has that many accelerators";
    }
    if (required.m_memory_mb > largest.m_memory_mb) {
        return "no worker of the pool has that much memory";
    }
    if (required.m_cpu_millis > largest.m_cpu_millis) {
        return "no worker of the pool has that many cores";
    }
    return "no single worker of the pool has all of it";
}

/// Returns the part of a customer's quota that this board may use: its allocation if boards share
/// quotas, otherwise the whole grant.
quota_amount usable_quota(const task_board& board, const customer_id& customer)
{
    if (!board.m_shares_quotas) {
        const auto quota = board.m_quotas.find(customer);
        return quota == board.m_quotas.end() ? quota_amount{} : to_quota_amount(quota->second);
    }
    const auto allocated = board.m_allocated.find(customer);
    return allocated == board.m_allocated.end() ? quota_amount{} : allocated->second;
}

bool within_quota(const task_board& board, const task& task_entry, const resources& reserved)
{
    const quota_amount quota = usable_quota(board, task_entry.m_customer);
    const auto found = board.m_quota_usage.find(task_entry.m_customer);
    const quota_amount use = found == board.m_quota_usage.end() ? quota_amount{} : found->second;
    return use.m_running < quota.m_running && fits(use.m_reserved + reserved, quota.m_reserved);
}

/// Returns the worker with the fewest free cores on which the task fits (best fit), or null.
/// Quarantined workers and those on which the task failed are left out.
worker_state* find_worker(task_board& board, const task& task_entry, const resources& reserved,
                          time_point now)
{
    auto& by_free = board.m_workers_by_free_cores[task_entry.m_pool];
    for (auto it = by_free.lower_bound({reserved.m_cpu_millis, worker_id()}); it != by_free.end();
         ++it) {
        worker_state& worker = board.m_workers.at(it->second);
        const bool failed_before = task_entry.m_failed_on.contains(worker.m_id);
        if (!failed_before && !is_quarantined(worker, now) && fits(reserved, worker.m_free)) {
            return &worker;
        }
    }
    return nullptr;
}

void start(task_board& board, task& task_entry, worker_state& worker, const resources& reserved,
           time_point now, std::vector<task_order>& orders)
{
    remove_from_free_index(board, worker);
    worker.m_free = worker.m_free - reserved;
    worker.m_tasks.insert(task_entry.m_id);
    add_to_free_index(board, worker);
    quota_amount& use = board.m_quota_usage[task_entry.m_customer];
    ++use.m_running;
    use.m_reserved = use.m_reserved + reserved;
    task_entry.m_state = task_state::starting;
    task_entry.m_reason.clear();
    task_entry.m_worker = worker.m_id;
    task_entry.m_reserved = reserved;
    task_entry.m_started_at = now;
    task_entry.m_throttled = false;
    ++task_entry.m_attempt;
    board.m_changed_tasks.push_back(task_entry.m_id);
    orders.push_back({task_order::verb::start, task_entry.m_id, worker.m_id, task_entry.m_attempt});
}

/// Resources that urgent tasks earlier in the queue will take on workers being freed by preemption.
using claimed_capacity = std::map<worker_id, resources>;

/// Checkpoints tasks of one worker that are not urgent, most recently started first, until the
/// urgent task fits. Returns true if the worker will have room once the checkpoints are complete.
bool preempt_tasks(task_board& board, const task& urgent, const resources& reserved, time_point now,
                   claimed_capacity& claimed, std::vector<task_order>& orders)
{
    for (auto& [id, worker] : board.m_workers) {
        const bool eligible = worker.m_pool == urgent.m_pool && worker.m_accepting &&
                              !is_quarantined(worker, now) && !urgent.m_failed_on.contains(id) &&
                              fits(reserved, worker.m_capacity);
        if (!eligible) {
            continue;
        }
        std::vector<task*> victims;
        resources freed = worker.m_free - claimed[id];
        for (const task_id& task_of_worker : worker.m_tasks) {
            task& candidate = board.m_tasks.at(task_of_worker);
            if (candidate.m_state == task_state::checkpointing) {
                freed = freed + candidate.m_reserved;
            }
            else if (!candidate.m_urgent && candidate.m_state == task_state::running) {
                victims.push_back(&candidate);
            }
        }
        std::sort(victims.begin(), victims.end(), [](const task* left, const task* right) {
            return left->m_started_at > right->m_started_at;
        });
        std::size_t victim_count = 0;
        while (!fits(reserved, freed) && victim_count < victims.size()) {
            freed = freed + victims[victim_count++]->m_reserved;
        }
        if (!fits(reserved, freed)) {
            continue;
        }
        for (std::size_t i = 0; i < victim_count; ++i) {
            victims[i]->m_state = task_state::checkpointing;
            victims[i]->m_reason = "makes room for urgent task " + urgent.m_id.str();
            board.m_changed_tasks.push_back(victims[i]->m_id);
            orders.push_back(
                {task_order::verb::checkpoint, victims[i]->m_id, id, victims[i]->m_attempt});
        }
        claimed[id] = claimed[id] + reserved;
        return true;
    }
    return false;
}

/// Tries to start the tasks of one queue in order. A task that fits on no worker now keeps its
/// place; one that exceeds the quota leaves the queue until quota becomes free. Once a task has not
/// fitted, larger ones are not tried in this pass, which bounds the cost of a long queue.
void place_queue(task_board& board, std::deque<task_id>& queue, bool urgent, time_point now,
                 std::vector<task_order>& orders)
{
    std::deque<task_id> remaining;
    std::optional<resources> smallest_unplaced;
    claimed_capacity claimed;
    while (!queue.empty()) {
        const task_id id = queue.front();
        queue.pop_front();
        const auto found = board.m_tasks.find(id);
        if (found == board.m_tasks.end() || found->second.m_state != task_state::waiting) {
            continue;
        }
        task& task_entry = found->second;
        const resources reserved = board.m_usage.reservation_for(
            task_entry.m_customer, task_entry.m_kind, task_entry.m_declared);
        if (!within_quota(board, task_entry, reserved)) {
            task_entry.m_reason = "the quota of the contract is used up";
            board.m_blocked[task_entry.m_customer].insert(id);
            continue;
        }
        const bool cannot_fit = smallest_unplaced && fits(*smallest_unplaced, reserved);
        worker_state* worker = cannot_fit ? nullptr : find_worker(board, task_entry, reserved, now);
        if (worker != nullptr) {
            start(board, task_entry, *worker, reserved, now, orders);
            continue;
        }
        task_entry.m_reason = "no worker of the pool has room now";
        if (!cannot_fit && task_entry.m_failed_on.empty()) {
            smallest_unplaced = reserved;
        }
        if (urgent && preempt_tasks(board, task_entry, reserved, now, claimed, orders)) {
            task_entry.m_reason = "room is being made by saving other tasks";
        }
        remaining.push_back(id);
    }
    queue = std::move(remaining);
}

} // namespace

quota_amount to_quota_amount(const task_grant& grant)
{
    return {grant.m_running,
            {static_cast<std::int64_t>(grant.m_cpu_millis),
             static_cast<std::int64_t>(grant.m_memory_mb),
             static_cast<std::int64_t>(grant.m_accelerators)}};
}

std::string find_impossible_reason(const task& task_entry, const task_grant& grant,
                                   const std::vector<resources>& capacities)
{
    if (grant.m_running == 0) {
        return "the contract grants no tasks";
    }
    if (!fits(task_entry.m_declared, to_quota_amount(grant).m_reserved)) {
        return "it needs more than the whole quota of the contract";
    }
    if (capacities.empty()) {
        return "pool " + task_entry.m_pool.str() + " has no workers";
    }
    resources largest;
    for (const resources& capacity : capacities) {
        if (fits(task_entry.m_declared, capacity)) {
            return {};
        }
        largest.m_cpu_millis = std::max(largest.m_cpu_millis, capacity.m_cpu_millis);
        largest.m_memory_mb = std::max(largest.m_memory_mb, capacity.m_memory_mb);
        largest.m_accelerators = std::max(largest.m_accelerators, capacity.m_accelerators);
    }
    return describe_missing_resource(task_entry.m_declared, largest);
}

void add_or_update_worker(task_board& board, const worker_id& id, const pool_id& pool,
                          const resources& capacity, bool accepting)
{
    const auto [it, added] = board.m_workers.try_emplace(id);
    worker_state& worker = it->second;
    if (!added) {
        remove_from_free_index(board, worker);
    }
    worker.m_id = id;
    worker.m_pool = pool;
    worker.m_free = worker.m_free + (capacity - worker.m_capacity);
    worker.m_capacity = capacity;
    worker.m_accepting = accepting;
    add_to_free_index(board, worker);
}

void submit_task(task_board& board, task submitted, time_point now)
{
    const task_id id = submitted.m_id;
    if (board.m_tasks.contains(id)) {
        return;
    }
    submitted.m_submitted_at = now;
    task& task_entry = board.m_tasks.emplace(id, std::move(submitted)).first->second;
    const auto quota = board.m_quotas.find(task_entry.m_customer);
    const task_grant grant = quota == board.m_quotas.end() ? task_grant{} : quota->second;
    std::string reason =
        find_impossible_reason(task_entry, grant, list_capacities(board, task_entry.m_pool));
    if (!reason.empty()) {
        refuse_task(board, task_entry, std::move(reason));
        return;
    }
    enqueue_task(board, task_entry);
}

void cancel_task(task_board& board, const task_id& id, std::vector<task_order>& orders)
{
    const auto found = board.m_tasks.find(id);
    if (found == board.m_tasks.end() || is_final(found->second.m_state)) {
        return;
    }
    task& task_entry = found->second;
    if (holds_worker(task_entry.m_state)) {
        orders.push_back({task_order::verb::stop, id, task_entry.m_worker, task_entry.m_attempt});
        task_entry.m_stopping_on = task_entry.m_worker;
    }
    release_reservation(board, task_entry);
    const auto blocked = board.m_blocked.find(task_entry.m_customer);
    if (blocked != board.m_blocked.end()) {
        blocked->second.erase(id);
    }
    task_entry.m_state = task_state::cancelled;
    task_entry.m_reason = "cancelled";
    board.m_changed_tasks.push_back(id);
}

void place_tasks(task_board& board, time_point now, std::vector<task_order>& orders)
{
    for (auto& [pool, queue] : board.m_urgent_queues) {
        place_queue(board, queue, true, now, orders);
    }
    for (auto& [pool, queue] : board.m_normal_queues) {
        if (board.m_urgent_queues[pool].empty()) {
            place_queue(board, queue, false, now, orders);
        }
    }
}

void set_quota_allocation(task_board& board, const customer_id& customer,
                          const quota_amount& allocated)
{
    board.m_allocated[customer] = allocated;
    requeue_blocked_tasks(board, customer);
}

std::string explain_task(const task_board& board, const task_id& id)
{
    const auto found = board.m_tasks.find(id);
    if (found == board.m_tasks.end()) {
        return "there is no task " + id.str();
    }
    const task& task_entry = found->second;
    std::string text = to_string(task_entry.m_state);
    if (!task_entry.m_worker.empty()) {
        text += " on " + task_entry.m_worker.str();
    }
    if (!task_entry.m_reason.empty()) {
        text += ": " + task_entry.m_reason;
    }
    return text;
}

} // namespace guavabay
