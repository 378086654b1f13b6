#include <algorithm>

#include "fleet/task_accounting.h"

namespace guavabay {

namespace {

constexpr std::size_t min_failed_tasks_to_quarantine = 3;
constexpr std::size_t min_failed_workers_to_refuse = 3; ///< Not counting quarantined workers.
constexpr std::size_t max_failed_workers = 8;           ///< Counting quarantined workers.
constexpr seconds initial_quarantine{60};
constexpr std::uint32_t max_quarantine_doublings = 6;

/// Counts the workers on which a task failed and which are not quarantined.
std::size_t count_failed_healthy_workers(const task_board& board, const task& task_entry,
                                         time_point now)
{
    std::size_t count = 0;
    for (const worker_id& id : task_entry.m_failed_on) {
        const auto worker = board.m_workers.find(id);
        count += worker != board.m_workers.end() && !is_quarantined(worker->second, now) ? 1U : 0U;
    }
    return count;
}

/// Quarantines a worker. The time doubles with each quarantine, up to a limit.
void quarantine(worker_state& worker, time_point now)
{
    const std::uint32_t doublings = std::min(worker.m_quarantines, max_quarantine_doublings);
    worker.m_quarantined_until = now + initial_quarantine * (1 << doublings);
    ++worker.m_quarantines;
    worker.m_failed_tasks.clear();
}

/// Quarantines a worker on which several tasks failed whose kinds have succeeded before. A failure
/// of a kind that has never succeeded is no evidence against the worker.
void quarantine_if_faulty(const task_board& board, worker_state& worker, time_point now)
{
    std::size_t conclusive_failures = 0;
    for (const auto& [id, kind] : worker.m_failed_tasks) {
        conclusive_failures += board.m_usage.has_succeeded(kind.first, kind.second) ? 1U : 0U;
    }
    if (conclusive_failures >= min_failed_tasks_to_quarantine) {
        quarantine(worker, now);
    }
}

/// Returns the task if the attempt is its current one and holds a worker; null otherwise.
task* find_current_attempt(task_board& board, const task_id& id, std::uint64_t attempt)
{
    const auto found = board.m_tasks.find(id);
    const bool matches = found != board.m_tasks.end() && found->second.m_attempt == attempt &&
                         holds_worker(found->second.m_state);
    return matches ? &found->second : nullptr;
}

} // namespace

void on_task_started(task_board& board, const task_id& id, std::uint64_t attempt,
                     std::vector<task_order>& orders)
{
    task* task_entry = find_current_attempt(board, id, attempt);
    if (task_entry != nullptr && task_entry->m_state == task_state::starting) {
        task_entry->m_state = task_state::running;
    }
    const auto found = board.m_tasks.find(id);
    if (task_entry == nullptr && found != board.m_tasks.end()) {
        orders.push_back({task_order::verb::stop, id, found->second.m_worker, attempt});
    }
}

void on_task_checkpointed(task_board& board, const task_id& id, std::uint64_t attempt)
{
    task* task_entry = find_current_attempt(board, id, attempt);
    if (task_entry != nullptr && task_entry->m_state == task_state::checkpointing) {
        requeue_task(board, *task_entry, "saved, waits for room");
    }
}

void on_task_done(task_board& board, const task_id& id, std::uint64_t attempt,
                  const resources& used, time_point now)
{
    task* task_entry = find_current_attempt(board, id, attempt);
    if (task_entry == nullptr) {
        return;
    }
    const bool first_success =
        !board.m_usage.has_succeeded(task_entry->m_customer, task_entry->m_kind);
    board.m_usage.observe(task_entry->m_customer, task_entry->m_kind, task_entry->m_declared, used);
    const auto worker = board.m_workers.find(task_entry->m_worker);
    if (worker != board.m_workers.end()) {
        worker->second.m_failed_tasks.clear();
        worker->second.m_quarantines = 0;
    }
    // Earlier failures of this kind count as evidence from its first success on.
    if (first_success) {
        for (auto& [other, suspect] : board.m_workers) {
            quarantine_if_faulty(board, suspect, now);
        }
    }
    release_reservation(board, *task_entry);
    task_entry->m_state = task_state::done;
    task_entry->m_reason = "done";
    board.m_changed_tasks.push_back(id);
}

void on_task_failed(task_board& board, const task_id& id, std::uint64_t attempt, time_point now)
{
    task* task_entry = find_current_attempt(board, id, attempt);
    if (task_entry == nullptr) {
        return;
    }
    const worker_id failed_worker = task_entry->m_worker;
    task_entry->m_failed_on.insert(failed_worker);
    const auto worker = board.m_workers.find(failed_worker);
    requeue_task(board, *task_entry, "failed on " + failed_worker.str());
    if (worker != board.m_workers.end() && !is_quarantined(worker->second, now)) {
        worker->second.m_failed_tasks[id] = {task_entry->m_customer, task_entry->m_kind};
        quarantine_if_faulty(board, worker->second, now);
    }
    const std::size_t failed_healthy_workers =
        count_failed_healthy_workers(board, *task_entry, now);
    if (failed_healthy_workers < min_failed_workers_to_refuse &&
        task_entry->m_failed_on.size() < max_failed_workers) {
        return;
    }
    // The task is at fault, so its failures are no evidence against the workers.
    for (const worker_id& failed_on : task_entry->m_failed_on) {
        const auto cleared = board.m_workers.find(failed_on);
        if (cleared != board.m_workers.end()) {
            cleared->second.m_failed_tasks.erase(id);
        }
    }
    refuse_task(board, *task_entry,
                "it failed on " + std::to_string(task_entry->m_failed_on.size()) + " workers");
}

void on_task_stopped(task_board& board, const task_id& id)
{
    const auto found = board.m_tasks.find(id);
    if (found != board.m_tasks.end() && !found->second.m_stopping_on.empty()) {
        found->second.m_stopping_on = {};
        board.m_changed_tasks.push_back(id);
    }
}

std::size_t count_open_tasks(const task_board& board, const customer_id& customer)
{
    return static_cast<std::size_t>(
        std::count_if(board.m_tasks.begin(), board.m_tasks.end(), [&customer](const auto& entry) {
            const task& task_entry = entry.second;
            const bool open = !is_final(task_entry.m_state) || !task_entry.m_stopping_on.empty();
            return open && task_entry.m_customer == customer;
        }));
}

void on_worker_lost(task_board& board, const worker_id& id)
{
    const auto found = board.m_workers.find(id);
    if (found == board.m_workers.end()) {
        return;
    }
    const std::set<task_id> lost = found->second.m_tasks;
    std::vector<task_id> stopped;
    for (const task_id& lost_id : lost) {
        task& task_entry = board.m_tasks.at(lost_id);
        ++task_entry.m_worker_losses;
        requeue_task(board, task_entry, "its worker was lost");
    }
    for (const auto& [stopping_id, task_entry] : board.m_tasks) {
        if (task_entry.m_stopping_on == id) {
            stopped.push_back(stopping_id);
        }
    }
    for (const task_id& stopped_id : stopped) {
        on_task_stopped(board, stopped_id);
    }
    remove_from_free_index(board, found->second);
    board.m_workers.erase(found);
}

} // namespace guavabay
