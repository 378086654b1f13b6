#include "fleet/task_upkeep.h"

#include <algorithm>

#include "fleet/task_accounting.h"

namespace guavabay {

namespace {

/// Marks a running task as checkpointing. It is queued again when the platform reports it as saved.
void start_checkpoint(task_board& board, task& task_entry, std::string reason)
{
    task_entry.m_state = task_state::checkpointing;
    task_entry.m_reason = std::move(reason);
    board.m_changed_tasks.push_back(task_entry.m_id);
}

/// Returns the running tasks of a worker that exceed their reservation, largest excess first.
template <typename Excess>
std::vector<task*> sort_by_excess(task_board& board, const worker_state& worker, Excess excess)
{
    std::vector<task*> tasks;
    for (const task_id& id : worker.m_tasks) {
        task& task_entry = board.m_tasks.at(id);
        if (task_entry.m_state == task_state::running && excess(task_entry) > 0) {
            tasks.push_back(&task_entry);
        }
    }
    std::sort(tasks.begin(), tasks.end(), [&excess](const task* left, const task* right) {
        return excess(*left) > excess(*right);
    });
    return tasks;
}

std::int64_t excess_cores(const task& task_entry)
{
    return task_entry.m_used.m_cpu_millis - task_entry.m_reserved.m_cpu_millis;
}

std::int64_t excess_memory(const task& task_entry)
{
    return task_entry.m_used.m_memory_mb - task_entry.m_reserved.m_memory_mb;
}

/// Returns true if a task waits for its customer's quota. More workers would not start it.
bool is_blocked(const task_board& board, const task& task_entry)
{
    const auto found = board.m_blocked.find(task_entry.m_customer);
    return found != board.m_blocked.end() && found->second.contains(task_entry.m_id);
}

/// Returns the usage that the running tasks of a worker last reported, in total.
resources sum_usage(const task_board& board, const worker_state& worker)
{
    resources used;
    for (const task_id& id : worker.m_tasks) {
        const task& task_entry = board.m_tasks.at(id);
        used = used + (task_entry.m_state == task_state::running ? task_entry.m_used : resources{});
    }
    return used;
}

/// Throttles tasks above their reservation until their excess covers `over` thousandths of a core.
void throttle_tasks(task_board& board, const worker_state& worker, std::int64_t over)
{
    for (task* task_entry : sort_by_excess(board, worker, excess_cores)) {
        if (over <= 0) {
            return;
        }
        over -= excess_cores(*task_entry);
        if (!task_entry->m_throttled) {
            task_entry->m_throttled = true;
            task_entry->m_reason = "throttled: it uses more cores than reserved";
            board.m_changed_tasks.push_back(task_entry->m_id);
        }
    }
}

/// Checkpoints tasks above their reservation until `over` megabytes are due to become free.
void checkpoint_tasks(task_board& board, const worker_state& worker, std::int64_t over)
{
    for (task* task_entry : sort_by_excess(board, worker, excess_memory)) {
        if (over <= 0) {
            return;
        }
        over -= task_entry->m_used.m_memory_mb;
        start_checkpoint(board, *task_entry, "saved: it uses more memory than reserved");
    }
}

} // namespace

void restore_task(task_board& board, task task_entry, time_point now)
{
    const task_id id = task_entry.m_id;
    const bool holds = holds_worker(task_entry.m_state);
    const auto worker = board.m_workers.find(task_entry.m_worker);
    task_entry.m_submitted_at = now;
    task& restored = board.m_tasks.insert_or_assign(id, std::move(task_entry)).first->second;
    if (is_final(restored.m_state)) {
        return;
    }
    if (!holds) {
        enqueue_task(board, restored);
        return;
    }
    if (worker == board.m_workers.end()) {
        restored.m_state = task_state::waiting;
        restored.m_worker = {};
        restored.m_reason = "its worker was lost";
        board.m_changed_tasks.push_back(id);
        enqueue_task(board, restored);
        return;
    }
    remove_from_free_index(board, worker->second);
    worker->second.m_free = worker->second.m_free - restored.m_reserved;
    worker->second.m_tasks.insert(id);
    add_to_free_index(board, worker->second);
    quota_amount& use = board.m_quota_usage[restored.m_customer];
    ++use.m_running;
    use.m_reserved = use.m_reserved + restored.m_reserved;
    restored.m_started_at = now;
}

void drain_worker(task_board& board, const worker_id& id)
{
    const auto found = board.m_workers.find(id);
    if (found == board.m_workers.end()) {
        return;
    }
    for (const task_id& task_of_worker : found->second.m_tasks) {
        task& running = board.m_tasks.at(task_of_worker);
        if (running.m_state == task_state::running) {
            start_checkpoint(board, running, "saved: its worker is being drained");
        }
    }
}

void on_task_usage(task_board& board, const task_id& id, std::uint64_t attempt,
                   const resources& used)
{
    const auto found = board.m_tasks.find(id);
    if (found == board.m_tasks.end() || found->second.m_attempt != attempt ||
        found->second.m_state != task_state::running) {
        return;
    }
    found->second.m_used = used;
    const auto worker = board.m_workers.find(found->second.m_worker);
    if (worker == board.m_workers.end()) {
        return;
    }
    const resources over = sum_usage(board, worker->second) - worker->second.m_capacity;
    throttle_tasks(board, worker->second, over.m_cpu_millis);
    checkpoint_tasks(board, worker->second, over.m_memory_mb);
}

double estimate_required_workers(const task_board& board)
{
    resources offered;
    for (const auto& [id, worker] : board.m_workers) {
        offered = offered + worker.m_capacity;
    }
    resources required;
    for (const auto& [id, task_entry] : board.m_tasks) {
        const bool holds = holds_worker(task_entry.m_state);
        const bool waits =
            task_entry.m_state == task_state::waiting && !is_blocked(board, task_entry);
        required = required + (holds   ? task_entry.m_reserved
                               : waits ? task_entry.m_declared
                                       : resources{});
    }
    const auto workers = static_cast<double>(board.m_workers.size());
    const auto to_workers = [workers](std::int64_t need, std::int64_t offer) {
        return offer <= 0 ? 0 : workers * static_cast<double>(need) / static_cast<double>(offer);
    };
    return std::max({to_workers(required.m_cpu_millis, offered.m_cpu_millis),
                     to_workers(required.m_memory_mb, offered.m_memory_mb),
                     to_workers(required.m_accelerators, offered.m_accelerators)});
}

quota_amount total_blocked_demand(const task_board& board, const customer_id& customer)
{
    quota_amount total;
    const auto found = board.m_blocked.find(customer);
    if (found == board.m_blocked.end()) {
        return total;
    }
    for (const task_id& id : found->second) {
        const task& task_entry = board.m_tasks.at(id);
        ++total.m_running;
        total.m_reserved =
            total.m_reserved +
            board.m_usage.reservation_for(customer, task_entry.m_kind, task_entry.m_declared);
    }
    return total;
}

quota_amount first_blocked_demand(const task_board& board, const customer_id& customer)
{
    const auto found = board.m_blocked.find(customer);
    if (found == board.m_blocked.end() || found->second.empty()) {
        return {};
    }
    const task& task_entry = board.m_tasks.at(*found->second.begin());
    return {1, board.m_usage.reservation_for(customer, task_entry.m_kind, task_entry.m_declared)};
}

} // namespace guavabay
