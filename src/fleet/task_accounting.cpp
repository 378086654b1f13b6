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

void unindex(task_board& board, const worker_state& worker)
{
    board.m_by_free[worker.m_pool].erase({worker.m_free.m_cpu_millis, worker.m_id});
}

void index(task_board& board, const worker_state& worker)
{
    if (worker.m_accepting) {
        board.m_by_free[worker.m_pool].insert({worker.m_free.m_cpu_millis, worker.m_id});
    }
}

void unblock(task_board& board, const customer_id& customer)
{
    const auto found = board.m_blocked.find(customer);
    if (found == board.m_blocked.end()) {
        return;
    }
    for (const task_id& id : found->second) {
        enqueue(board, board.m_tasks.at(id));
    }
    board.m_blocked.erase(found);
}

void enqueue(task_board& board, const task& one)
{
    auto& queue = one.m_urgent ? board.m_urgent[one.m_pool] : board.m_normal[one.m_pool];
    queue.push_back(one.m_id);
}

void release(task_board& board, task& one)
{
    if (!holds_worker(one.m_state)) {
        return;
    }
    const auto found = board.m_workers.find(one.m_worker);
    if (found != board.m_workers.end()) {
        worker_state& worker = found->second;
        unindex(board, worker);
        worker.m_free = worker.m_free + one.m_reserved;
        worker.m_tasks.erase(one.m_id);
        index(board, worker);
    }
    quota_use& use = board.m_uses[one.m_customer];
    check(use.m_running > 0, "a task that holds a worker counts in its quota");
    --use.m_running;
    use.m_reserved = use.m_reserved - one.m_reserved;
    one.m_worker = {};
    unblock(board, one.m_customer);
}

void wait_again(task_board& board, task& one, std::string reason)
{
    release(board, one);
    one.m_state = task_state::waiting;
    one.m_reason = std::move(reason);
    board.m_changed.push_back(one.m_id);
    enqueue(board, one);
}

void refuse(task_board& board, task& one, std::string reason)
{
    release(board, one);
    one.m_state = task_state::refused;
    one.m_reason = std::move(reason);
    board.m_changed.push_back(one.m_id);
}

} // namespace guavabay
