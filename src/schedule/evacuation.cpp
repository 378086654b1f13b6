#include <algorithm>
#include <limits>

#include "schedule/worker_choice.h"

namespace guavabay {

namespace {

/// Time that tasks which are not long-running may continue on a cordoned worker when the machine is
/// needed urgently.
constexpr milliseconds evacuation_grace{800};

/// A draining worker counts as leaving this long before its last stop orders are due.
constexpr milliseconds leaving_margin{300};

/// A long-running task that is still on a worker this long after the cordon is logged, once per
/// run.
constexpr milliseconds stuck_task_log_delay{4000};

/// Counts the other tasks of a long-running task's step that are unavailable.
std::int32_t count_unavailable_peers(const submission_record& record, const task_name& name)
{
    const step_tasks& tasks = record.m_occurrences.at(name.m_occurrence).m_steps[name.m_step];
    auto unavailable = static_cast<std::int32_t>(tasks.m_count) - 1;
    for (const auto& [index, task] : tasks.m_started) {
        unavailable -= index != name.m_index && task.m_available ? 1 : 0;
    }
    return unavailable;
}

/// True while the stop of another task of a long-running task's step is under way that was allowed
/// because enough tasks of the step were available.
bool is_peer_stopping(const submission_record& record, const task_name& name)
{
    const step_tasks& tasks = record.m_occurrences.at(name.m_occurrence).m_steps[name.m_step];
    return std::any_of(tasks.m_started.begin(), tasks.m_started.end(), [&](const auto& entry) {
        const scheduled_task& task = entry.second;
        if (entry.first == name.m_index || task.m_worker == nullptr) {
            return false;
        }
        task_name peer = name;
        peer.m_index = entry.first;
        const auto run = task.m_worker->m_runs.find({peer, task.m_run});
        return run != task.m_worker->m_runs.end() && run->second.m_needs_peers;
    });
}

/// True if a draining worker may leave so soon that its tasks cannot wait for the stop of another
/// one any more.
bool leaves_soon(const shard& state, const worker_record& worker, time_point now)
{
    return now + state.m_bounds.m_stop_time + leaving_margin >= worker.m_leaves_at;
}

/// True if a long-running task may be stopped however many tasks of its step are available: its
/// worker drains, and no stop of another one relies on this task.
bool may_exceed_limit(const shard& state, const submission_record& record,
                      const worker_record& worker, const run_slot& slot, time_point now)
{
    return is_draining(worker) &&
           (leaves_soon(state, worker, now) || !is_peer_stopping(record, slot.m_task));
}

/// True when a long-running task may be stopped to restart elsewhere: its step stays within the
/// allowed number of unavailable tasks, or may exceed it, and another worker has capacity.
bool can_move(shard& state, candidate_workers& candidates, const worker_record& worker,
              const run_slot& slot, time_point now)
{
    const found_task found = find_task(state, slot.m_task);
    if (found.m_task == nullptr || found.m_task->m_worker != &worker) {
        return false;
    }
    const submission_step& step = found.m_record->m_definition.m_steps[slot.m_task.m_step];
    // Without a limit of its own a step may lose all tasks to a cordon or a drain, but only one at
    // a time to upkeep that is due later. The limit also protects a task that was reported
    // unavailable: it may be available by now.
    const bool leaves_now = worker.m_cordoned || is_draining(worker);
    const std::int32_t max_unavailable = step.m_max_unavailable >= 0 ? step.m_max_unavailable
                                         : leaves_now ? std::numeric_limits<std::int32_t>::max()
                                                      : 1;
    if (count_unavailable_peers(*found.m_record, slot.m_task) >= max_unavailable &&
        !may_exceed_limit(state, *found.m_record, worker, slot, now)) {
        return false;
    }
    placement_request request =
        make_placement_request(state, *found.m_record, slot.m_task, *found.m_task);
    request.m_avoids_upkeep = !leaves_now;
    const bool has_room = choose_worker(state, candidates, request, "", now) != nullptr;
    state.m_unplaced_by_evacuation += has_room ? 0 : 1;
    return has_room;
}

/// Logs why a long-running task stays on a cordoned worker.
void log_stuck_task(shard& state, candidate_workers& candidates, const worker_record& worker,
                    const run_slot& slot, time_point now)
{
    const found_task found = find_task(state, slot.m_task);
    std::string text = "long-running task cannot leave its worker: task=" + to_string(slot.m_task) +
                       " worker=" + worker.m_info.m_id.str();
    if (found.m_task != nullptr && found.m_task->m_worker == &worker) {
        const submission_step& step = found.m_record->m_definition.m_steps[slot.m_task.m_step];
        const placement_request request =
            make_placement_request(state, *found.m_record, slot.m_task, *found.m_task);
        const bool has_room = choose_worker(state, candidates, request, "", now) != nullptr;
        text += " unavailable_peers=" +
                std::to_string(count_unavailable_peers(*found.m_record, slot.m_task)) +
                " max_unavailable=" + std::to_string(step.m_max_unavailable) +
                " available=" + (found.m_task->m_available ? "yes" : "no") +
                " has_room=" + (has_room ? "yes" : "no");
    }
    state.m_log_lines.push_back(std::move(text));
}

} // namespace

void evacuate(shard& state, time_point now)
{
    if (now < state.m_evacuates_from) {
        return;
    }
    std::vector<worker_record*> workers;
    for (const auto& [id, worker] : state.m_workers) {
        if ((worker->m_cordoned || is_draining(*worker) || worker->m_upkeep_due) &&
            worker->m_answered && !worker->m_lease_ended) {
            workers.push_back(worker.get());
        }
    }
    // A draining worker is the first to leave. Its tasks may exceed the limit of their steps, so
    // that the others have to wait for them.
    std::stable_partition(workers.begin(), workers.end(),
                          [](const worker_record* worker) { return is_draining(*worker); });
    std::optional<candidate_workers> candidates;
    for (worker_record* worker : workers) {
        for (auto& [key, slot] : worker->m_runs) {
            if (slot.m_phase != run_phase::running || slot.m_detached) {
                continue;
            }
            if (slot.m_long_running) {
                if (!candidates) {
                    candidates = find_candidate_workers(state, now);
                }
                if (can_move(state, *candidates, *worker, slot, now)) {
                    slot.m_needs_peers = !is_draining(*worker);
                    stop_run(state, *worker, slot, false);
                }
                else if (worker->m_cordoned && !slot.m_stay_logged &&
                         now - worker->m_cordoned_since > stuck_task_log_delay) {
                    slot.m_stay_logged = true;
                    log_stuck_task(state, *candidates, *worker, slot, now);
                }
            }
            else if (worker->m_cordoned && state.m_evacuate &&
                     now - worker->m_cordoned_since > evacuation_grace) {
                stop_run(state, *worker, slot, false);
            }
        }
    }
}

} // namespace guavabay
