#include "fleet/task_accounting.h"

#include "core/check.h"

namespace guavabay {

bool is_final(task_state state)
{
    return state == task_state::done || state == task_state::cancelled ||
           state == task_state::refused;
}

bool holds_worker(task_state state)
{
    return state == task_state::starting || state == task_state::running ||
           state == task_state::checkpointing;
}

bool is_quarantined(const worker_state& worker, time_point now)
{
    return now < worker.m_quarantined_until;
}

void remove_from_free_index(task_board& board, const worker_state& worker)
{
    board.m_workers_by_free_cores[worker.m_pool].erase({worker.m_free.m_cpu_millis, worker.m_id});
}

void add_to_free_index(task_board& board, const worker_state& worker)
{
    if (worker.m_accepting) {
        board.m_workers_by_free_cores[worker.m_pool].insert(
            {worker.m_free.m_cpu_millis, worker.m_id});
    }
}

void requeue_blocked_tasks(task_board& board, const customer_id& customer)
{
    const auto found = board.m_blocked.find(customer);
    if (found == board.m_blocked.end()) {
        return;
    }
    for (const task_id& id : found->second) {
        enqueue_task(board, board.m_tasks.at(id));
    }
    board.m_blocked.erase(found);
}

void enqueue_task(task_board& board, const task& task_entry)
{
    auto& queue = task_entry.m_urgent ? board.m_urgent_queues[task_entry.m_pool]
                                      : board.m_normal_queues[task_entry.m_pool];
    queue.push_back(task_entry.m_id);
}

void release_reservation(task_board& board, task& task_entry)
{
    if (!holds_worker(task_entry.m_state)) {
        return;
    }
    const auto found = board.m_workers.find(task_entry.m_worker);
    if (found != board.m_workers.end()) {
        worker_state& worker = found->second;
        remove_from_free_index(board, worker);
        worker.m_free = worker.m_free + task_entry.m_reserved;
        worker.m_tasks.erase(task_entry.m_id);
        add_to_free_index(board, worker);
    }
    quota_amount& use = board.m_quota_usage[task_entry.m_customer];
    check(use.m_running > 0, "a task that holds a worker counts in its quota");
    --use.m_running;
    use.m_reserved = use.m_reserved - task_entry.m_reserved;
    task_entry.m_worker = {};
    requeue_blocked_tasks(board, task_entry.m_customer);
}

void requeue_task(task_board& board, task& task_entry, std::string reason)
{
    release_reservation(board, task_entry);
    task_entry.m_state = task_state::waiting;
    task_entry.m_reason = std::move(reason);
    board.m_changed_tasks.push_back(task_entry.m_id);
    enqueue_task(board, task_entry);
}

void refuse_task(task_board& board, task& task_entry, std::string reason)
{
    release_reservation(board, task_entry);
    task_entry.m_state = task_state::refused;
    task_entry.m_reason = std::move(reason);
    board.m_changed_tasks.push_back(task_entry.m_id);
}

} // namespace guavabay
