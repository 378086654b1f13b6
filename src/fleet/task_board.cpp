#include "fleet/task_board.h"

#include <algorithm>

#include "fleet/task_accounting.h"
#include "fleet/task_record.h"

namespace guavabay {

namespace {

/// What the workers of a pool offer.
std::vector<resources> capacities_of(const task_board& board, const pool_id& pool)
{
    std::vector<resources> capacities;
    for (const auto& [id, worker] : board.m_workers) {
        if (worker.m_pool == pool) {
            capacities.push_back(worker.m_capacity);
        }
    }
    return capacities;
}

/// The constraint that no worker meets, given the largest amount of each resource.
std::string missing_resource(const resources& wanted, const resources& largest)
{
    if (wanted.m_accelerators > largest.m_accelerators) {
        return "no worker of the pool has that many accelerators";
    }
    if (wanted.m_memory_mb > largest.m_memory_mb) {
        return "no worker of the pool has that much memory";
    }
    if (wanted.m_cpu_millis > largest.m_cpu_millis) {
        return "no worker of the pool has that many cores";
    }
    return "no single worker of the pool has all of it";
}

/// The part of a customer's quota that this board may use now.
quota_amount usable_quota(const task_board& board, const customer_id& customer)
{
    if (!board.m_shares_quotas) {
        const auto quota = board.m_quotas.find(customer);
        return quota == board.m_quotas.end() ? quota_amount{} : to_quota_amount(quota->second);
    }
    const auto lent = board.m_allocated.find(customer);
    return lent == board.m_allocated.end() ? quota_amount{} : lent->second;
}

bool within_quota(const task_board& board, const task& one, const resources& reserved)
{
    const quota_amount quota = usable_quota(board, one.m_customer);
    const auto found = board.m_quota_usage.find(one.m_customer);
    const quota_amount use = found == board.m_quota_usage.end() ? quota_amount{} : found->second;
    return use.m_running < quota.m_running && fits(use.m_reserved + reserved, quota.m_reserved);
}

/// The worker with the fewest free cores that still takes the task.
worker_state* find_worker(task_board& board, const task& one, const resources& reserved,
                          time_point now)
{
    auto& by_free = board.m_workers_by_free_cores[one.m_pool];
    for (auto it = by_free.lower_bound({reserved.m_cpu_millis, worker_id()}); it != by_free.end();
         ++it) {
        worker_state& worker = board.m_workers.at(it->second);
        const bool tried = one.m_failed_on.contains(worker.m_id);
        if (!tried && !is_quarantined(worker, now) && fits(reserved, worker.m_free)) {
            return &worker;
        }
    }
    return nullptr;
}

void start(task_board& board, task& one, worker_state& worker, const resources& reserved,
           time_point now, std::vector<task_order>& orders)
{
    remove_from_free_index(board, worker);
    worker.m_free = worker.m_free - reserved;
    worker.m_tasks.insert(one.m_id);
    add_to_free_index(board, worker);
    quota_amount& use = board.m_quota_usage[one.m_customer];
    ++use.m_running;
    use.m_reserved = use.m_reserved + reserved;
    one.m_state = task_state::starting;
    one.m_reason.clear();
    one.m_worker = worker.m_id;
    one.m_reserved = reserved;
    one.m_started_at = now;
    one.m_throttled = false;
    ++one.m_attempt;
    board.m_changed_tasks.push_back(one.m_id);
    orders.push_back({task_order::verb::start, one.m_id, worker.m_id, one.m_attempt});
}

/// Room that is being made on workers for urgent tasks ahead in the queue.
using promised_room = std::map<worker_id, resources>;

/// Makes room for an urgent task by saving the tasks of one worker that are not urgent, the
/// youngest first. True when room is on its way.
bool preempt_for(task_board& board, const task& urgent, const resources& reserved, time_point now,
                 promised_room& promised, std::vector<task_order>& orders)
{
    for (auto& [id, worker] : board.m_workers) {
        const bool suits = worker.m_pool == urgent.m_pool && worker.m_accepting &&
                           !is_quarantined(worker, now) && !urgent.m_failed_on.contains(id) &&
                           fits(reserved, worker.m_capacity);
        if (!suits) {
            continue;
        }
        std::vector<task*> victims;
        resources freed = worker.m_free - promised[id];
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
        std::size_t used = 0;
        while (!fits(reserved, freed) && used < victims.size()) {
            freed = freed + victims[used++]->m_reserved;
        }
        if (!fits(reserved, freed)) {
            continue;
        }
        for (std::size_t i = 0; i < used; ++i) {
            victims[i]->m_state = task_state::checkpointing;
            victims[i]->m_reason = "makes room for urgent task " + urgent.m_id.str();
            board.m_changed_tasks.push_back(victims[i]->m_id);
            orders.push_back(
                {task_order::verb::checkpoint, victims[i]->m_id, id, victims[i]->m_attempt});
        }
        promised[id] = promised[id] + reserved;
        return true;
    }
    return false;
}

/// Tries to start the tasks of one queue in order. A task that does not fit now keeps its place.
void place_queue(task_board& board, std::deque<task_id>& queue, bool urgent, time_point now,
                 std::vector<task_order>& orders)
{
    std::deque<task_id> remaining;
    std::optional<resources> smallest_misfit;
    promised_room promised;
    while (!queue.empty()) {
        const task_id id = queue.front();
        queue.pop_front();
        const auto found = board.m_tasks.find(id);
        if (found == board.m_tasks.end() || found->second.m_state != task_state::waiting) {
            continue;
        }
        task& one = found->second;
        const resources reserved =
            board.m_usage.reservation_for(one.m_customer, one.m_kind, one.m_declared);
        if (!within_quota(board, one, reserved)) {
            one.m_reason = "the quota of the contract is used up";
            board.m_blocked[one.m_customer].insert(id);
            continue;
        }
        const bool hopeless = smallest_misfit && fits(*smallest_misfit, reserved);
        worker_state* worker = hopeless ? nullptr : find_worker(board, one, reserved, now);
        if (worker != nullptr) {
            start(board, one, *worker, reserved, now, orders);
            continue;
        }
        one.m_reason = "no worker of the pool has room now";
        if (!hopeless && one.m_failed_on.empty()) {
            smallest_misfit = reserved;
        }
        if (urgent && preempt_for(board, one, reserved, now, promised, orders)) {
            one.m_reason = "room is being made by saving other tasks";
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

std::string find_impossible_reason(const task& one, const task_grant& grant,
                                   const std::vector<resources>& capacities)
{
    if (grant.m_running == 0) {
        return "the contract grants no tasks";
    }
    if (!fits(one.m_declared, to_quota_amount(grant).m_reserved)) {
        return "it needs more than the whole quota of the contract";
    }
    if (capacities.empty()) {
        return "pool " + one.m_pool.str() + " has no workers";
    }
    resources largest;
    for (const resources& capacity : capacities) {
        if (fits(one.m_declared, capacity)) {
            return {};
        }
        largest.m_cpu_millis = std::max(largest.m_cpu_millis, capacity.m_cpu_millis);
        largest.m_memory_mb = std::max(largest.m_memory_mb, capacity.m_memory_mb);
        largest.m_accelerators = std::max(largest.m_accelerators, capacity.m_accelerators);
    }
    return missing_resource(one.m_declared, largest);
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

void submit_task(task_board& board, task wanted, time_point now)
{
    const task_id id = wanted.m_id;
    if (board.m_tasks.contains(id)) {
        return;
    }
    wanted.m_submitted_at = now;
    task& one = board.m_tasks.emplace(id, std::move(wanted)).first->second;
    const auto quota = board.m_quotas.find(one.m_customer);
    const task_grant grant = quota == board.m_quotas.end() ? task_grant{} : quota->second;
    std::string reason = find_impossible_reason(one, grant, capacities_of(board, one.m_pool));
    if (!reason.empty()) {
        refuse_task(board, one, std::move(reason));
        return;
    }
    enqueue_task(board, one);
}

void cancel_task(task_board& board, const task_id& id, std::vector<task_order>& orders)
{
    const auto found = board.m_tasks.find(id);
    if (found == board.m_tasks.end() || is_final(found->second.m_state)) {
        return;
    }
    task& one = found->second;
    if (holds_worker(one.m_state)) {
        orders.push_back({task_order::verb::stop, id, one.m_worker, one.m_attempt});
        one.m_stopping_on = one.m_worker;
    }
    release_reservation(board, one);
    const auto blocked = board.m_blocked.find(one.m_customer);
    if (blocked != board.m_blocked.end()) {
        blocked->second.erase(id);
    }
    one.m_state = task_state::cancelled;
    one.m_reason = "cancelled";
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

void set_quota_allocation(task_board& board, const customer_id& customer, const quota_amount& lent)
{
    board.m_allocated[customer] = lent;
    requeue_blocked_tasks(board, customer);
}

std::string explain_task(const task_board& board, const task_id& id)
{
    const auto found = board.m_tasks.find(id);
    if (found == board.m_tasks.end()) {
        return "there is no task " + id.str();
    }
    const task& one = found->second;
    std::string text = to_string(one.m_state);
    if (!one.m_worker.empty()) {
        text += " on " + one.m_worker.str();
    }
    if (!one.m_reason.empty()) {
        text += ": " + one.m_reason;
    }
    return text;
}

} // namespace guavabay
