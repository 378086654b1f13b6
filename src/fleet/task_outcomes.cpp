#include <algorithm>

#include "fleet/task_accounting.h"

namespace guavabay {

namespace {

constexpr std::size_t tasks_to_blame_worker = 3;
constexpr std::size_t workers_to_blame_task = 3; ///< Workers that are not quarantined.
constexpr std::size_t most_workers_tried = 8;
constexpr seconds first_quarantine{60};
constexpr std::uint32_t longest_quarantine_doublings = 6;

/// Workers on which a task failed and which are not held to be at fault themselves.
std::size_t failures_on_sound_workers(const task_board& board, const task& one, time_point now)
{
    std::size_t count = 0;
    for (const worker_id& id : one.m_failed_on) {
        const auto worker = board.m_workers.find(id);
        count += worker != board.m_workers.end() && !is_quarantined(worker->second, now) ? 1U : 0U;
    }
    return count;
}

/// Keeps a worker out of use, longer each time.
void quarantine(worker_state& worker, time_point now)
{
    const std::uint32_t doublings = std::min(worker.m_quarantines, longest_quarantine_doublings);
    worker.m_quarantined_until = now + first_quarantine * (1 << doublings);
    ++worker.m_quarantines;
    worker.m_failed_tasks.clear();
}

/// Keeps a worker out of use on which several tasks failed whose like ends well elsewhere. A
/// failure of a kind that has never ended well says nothing about the worker.
void judge_worker(const task_board& board, worker_state& worker, time_point now)
{
    std::size_t telling = 0;
    for (const auto& [id, kind] : worker.m_failed_tasks) {
        telling += board.m_usage.has_succeeded(kind.first, kind.second) ? 1U : 0U;
    }
    if (telling >= tasks_to_blame_worker) {
        quarantine(worker, now);
    }
}

/// The task when the report belongs to its present attempt; null otherwise.
task* current(task_board& board, const task_id& id, std::uint64_t attempt)
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
    task* one = current(board, id, attempt);
    if (one != nullptr && one->m_state == task_state::starting) {
        one->m_state = task_state::running;
    }
    const auto found = board.m_tasks.find(id);
    if (one == nullptr && found != board.m_tasks.end()) {
        orders.push_back({task_order::verb::stop, id, found->second.m_worker, attempt});
    }
}

void on_task_checkpointed(task_board& board, const task_id& id, std::uint64_t attempt)
{
    task* one = current(board, id, attempt);
    if (one != nullptr && one->m_state == task_state::checkpointing) {
        requeue_task(board, *one, "saved, waits for room");
    }
}

void on_task_done(task_board& board, const task_id& id, std::uint64_t attempt,
                  const resources& used, time_point now)
{
    task* one = current(board, id, attempt);
    if (one == nullptr) {
        return;
    }
    const bool first_success = !board.m_usage.has_succeeded(one->m_customer, one->m_kind);
    board.m_usage.observe(one->m_customer, one->m_kind, one->m_declared, used);
    const auto worker = board.m_workers.find(one->m_worker);
    if (worker != board.m_workers.end()) {
        worker->second.m_failed_tasks.clear();
        worker->second.m_quarantines = 0;
    }
    if (first_success) {
        for (auto& [other, suspect] : board.m_workers) {
            judge_worker(board, suspect, now);
        }
    }
    release_reservation(board, *one);
    one->m_state = task_state::done;
    one->m_reason = "done";
    board.m_changed_tasks.push_back(id);
}

void on_task_failed(task_board& board, const task_id& id, std::uint64_t attempt, time_point now)
{
    task* one = current(board, id, attempt);
    if (one == nullptr) {
        return;
    }
    const worker_id place = one->m_worker;
    one->m_failed_on.insert(place);
    const auto worker = board.m_workers.find(place);
    requeue_task(board, *one, "failed on " + place.str());
    if (worker != board.m_workers.end() && !is_quarantined(worker->second, now)) {
        worker->second.m_failed_tasks[id] = {one->m_customer, one->m_kind};
        judge_worker(board, worker->second, now);
    }
    const std::size_t sound_workers = failures_on_sound_workers(board, *one, now);
    if (sound_workers < workers_to_blame_task && one->m_failed_on.size() < most_workers_tried) {
        return;
    }
    for (const worker_id& blamed : one->m_failed_on) {
        const auto cleared = board.m_workers.find(blamed);
        if (cleared != board.m_workers.end()) {
            cleared->second.m_failed_tasks.erase(id);
        }
    }
    refuse_task(board, *one,
                "it failed on " + std::to_string(one->m_failed_on.size()) + " workers");
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
            const task& one = entry.second;
            const bool open = !is_final(one.m_state) || !one.m_stopping_on.empty();
            return open && one.m_customer == customer;
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
    for (const task_id& one : lost) {
        task& entry = board.m_tasks.at(one);
        ++entry.m_worker_losses;
        requeue_task(board, entry, "its worker was lost");
    }
    for (const auto& [task, entry] : board.m_tasks) {
        if (entry.m_stopping_on == id) {
            stopped.push_back(task);
        }
    }
    for (const task_id& one : stopped) {
        on_task_stopped(board, one);
    }
    remove_from_free_index(board, found->second);
    board.m_workers.erase(found);
}

} // namespace guavabay
