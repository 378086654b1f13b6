#include "fleet/task_upkeep.h"

#include <algorithm>

#include "fleet/task_accounting.h"

namespace guavabay {

namespace {

/// Saves a running task so that it waits for another worker.
void save(task_board& board, task& one, std::string reason)
{
    one.m_state = task_state::checkpointing;
    one.m_reason = std::move(reason);
    board.m_changed_tasks.push_back(one.m_id);
}

/// Running tasks of a worker, those furthest above their reservation first.
template <typename Excess>
std::vector<task*> worst_first(task_board& board, const worker_state& worker, Excess excess)
{
    std::vector<task*> tasks;
    for (const task_id& id : worker.m_tasks) {
        task& one = board.m_tasks.at(id);
        if (one.m_state == task_state::running && excess(one) > 0) {
            tasks.push_back(&one);
        }
    }
    std::sort(tasks.begin(), tasks.end(), [&excess](const task* left, const task* right) {
        return excess(*left) > excess(*right);
    });
    return tasks;
}

std::int64_t excess_cores(const task& one)
{
    return one.m_used.m_cpu_millis - one.m_reserved.m_cpu_millis;
}

std::int64_t excess_memory(const task& one)
{
    return one.m_used.m_memory_mb - one.m_reserved.m_memory_mb;
}

/// True when a task waits for its customer's quota, which no further host would give it.
bool is_blocked(const task_board& board, const task& one)
{
    const auto found = board.m_blocked.find(one.m_customer);
    return found != board.m_blocked.end() && found->second.contains(one.m_id);
}

resources used_on(const task_board& board, const worker_state& worker)
{
    resources used;
    for (const task_id& id : worker.m_tasks) {
        const task& one = board.m_tasks.at(id);
        used = used + (one.m_state == task_state::running ? one.m_used : resources{});
    }
    return used;
}

void relieve_cores(task_board& board, const worker_state& worker, std::int64_t over)
{
    for (task* one : worst_first(board, worker, excess_cores)) {
        if (over <= 0) {
            return;
        }
        over -= excess_cores(*one);
        if (!one->m_throttled) {
            one->m_throttled = true;
            one->m_reason = "throttled: it uses more cores than reserved";
            board.m_changed_tasks.push_back(one->m_id);
        }
    }
}

void relieve_memory(task_board& board, const worker_state& worker, std::int64_t over)
{
    for (task* one : worst_first(board, worker, excess_memory)) {
        if (over <= 0) {
            return;
        }
        over -= one->m_used.m_memory_mb;
        save(board, *one, "saved: it uses more memory than reserved");
    }
}

} // namespace

void restore_task(task_board& board, task one, time_point now)
{
    const task_id id = one.m_id;
    const bool placed = holds_worker(one.m_state);
    const auto worker = board.m_workers.find(one.m_worker);
    one.m_submitted_at = now;
    task& kept = board.m_tasks.insert_or_assign(id, std::move(one)).first->second;
    if (is_final(kept.m_state)) {
        return;
    }
    if (!placed) {
        enqueue_task(board, kept);
        return;
    }
    if (worker == board.m_workers.end()) {
        kept.m_state = task_state::waiting;
        kept.m_worker = {};
        kept.m_reason = "its worker was lost";
        board.m_changed_tasks.push_back(id);
        enqueue_task(board, kept);
        return;
    }
    remove_from_free_index(board, worker->second);
    worker->second.m_free = worker->second.m_free - kept.m_reserved;
    worker->second.m_tasks.insert(id);
    add_to_free_index(board, worker->second);
    quota_amount& use = board.m_quota_usage[kept.m_customer];
    ++use.m_running;
    use.m_reserved = use.m_reserved + kept.m_reserved;
    kept.m_started_at = now;
}

void drain_worker(task_board& board, const worker_id& id)
{
    const auto found = board.m_workers.find(id);
    if (found == board.m_workers.end()) {
        return;
    }
    for (const task_id& one : found->second.m_tasks) {
        task& running = board.m_tasks.at(one);
        if (running.m_state == task_state::running) {
            save(board, running, "saved: its worker is being drained");
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
    const resources over = used_on(board, worker->second) - worker->second.m_capacity;
    relieve_cores(board, worker->second, over.m_cpu_millis);
    relieve_memory(board, worker->second, over.m_memory_mb);
}

double estimate_required_workers(const task_board& board)
{
    resources offered;
    for (const auto& [id, worker] : board.m_workers) {
        offered = offered + worker.m_capacity;
    }
    resources wanted;
    for (const auto& [id, one] : board.m_tasks) {
        const bool holds = holds_worker(one.m_state);
        const bool waits = one.m_state == task_state::waiting && !is_blocked(board, one);
        wanted = wanted + (holds ? one.m_reserved : waits ? one.m_declared : resources{});
    }
    const auto workers = static_cast<double>(board.m_workers.size());
    const auto share = [workers](std::int64_t need, std::int64_t offer) {
        return offer <= 0 ? 0 : workers * static_cast<double>(need) / static_cast<double>(offer);
    };
    return std::max({share(wanted.m_cpu_millis, offered.m_cpu_millis),
                     share(wanted.m_memory_mb, offered.m_memory_mb),
                     share(wanted.m_accelerators, offered.m_accelerators)});
}

quota_amount total_blocked_demand(const task_board& board, const customer_id& customer)
{
    quota_amount total;
    const auto found = board.m_blocked.find(customer);
    if (found == board.m_blocked.end()) {
        return total;
    }
    for (const task_id& id : found->second) {
        const task& one = board.m_tasks.at(id);
        ++total.m_running;
        total.m_reserved =
            total.m_reserved + board.m_usage.reservation_for(customer, one.m_kind, one.m_declared);
    }
    return total;
}

quota_amount first_blocked_demand(const task_board& board, const customer_id& customer)
{
    const auto found = board.m_blocked.find(customer);
    if (found == board.m_blocked.end() || found->second.empty()) {
        return {};
    }
    const task& one = board.m_tasks.at(*found->second.begin());
    return {1, board.m_usage.reservation_for(customer, one.m_kind, one.m_declared)};
}

} // namespace guavabay
