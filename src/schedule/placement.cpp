#include <algorithm>

#include "schedule/advice.h"
#include "schedule/worker_choice.h"

namespace guavabay {

namespace {

/// A worker that has not answered for this long gets no start.
constexpr milliseconds freshness{1500};

/// A worker that has left the list for this long gets no start.
constexpr milliseconds unlisted_starts{2500};

/// A task without progress for this long stands still.
constexpr milliseconds stall_time{1600};
/// A lasting task that is not at work after this time is started elsewhere.
constexpr milliseconds lasting_stall_time{5000};

/// Workers that are kept for tasks that found no room, per plan.
constexpr std::size_t max_kept_workers = 3;

void start_run(shard& state, const wanted_task& wanted, scheduled_task& task, worker_record& worker,
               run_number run, time_point now)
{
    run_slot slot;
    slot.m_task = wanted.m_name;
    slot.m_run = run;
    slot.m_reserved = wanted.m_demand;
    slot.m_long_running = wanted.m_step->m_lasting;
    slot.m_order_pending = true;
    slot.m_ordered_at = now;
    slot.m_progress_at = now;
    slot.m_estimate = wanted.m_expected;
    slot.m_image = wanted.m_step->m_image;
    slot.m_tail_latency_target_ms = wanted.m_step->m_tail_target_ms;
    slot.m_uses_idle_cores = wanted.m_step->m_fills;
    slot.m_declared_cpu = wanted.m_step->m_demand.m_cpu_millis;
    worker.m_reserved = worker.m_reserved + slot.m_reserved;
    worker.m_runs.emplace(std::pair(wanted.m_name, run), slot);
    task.m_phase = task_phase::placed;
    task.m_worker = &worker;
    task.m_run = run;
    task.m_available = false;
    wanted.m_record->m_started = true;
    worker_order order;
    order.m_kind = worker_order::kind::start;
    order.m_worker = worker.m_info.m_id;
    order.m_address = worker.m_info.m_address;
    order.m_task = wanted.m_name;
    order.m_run = run;
    order.m_spec = wanted.m_record->m_definition.m_spec;
    order.m_checkpoint = task.m_checkpoint;
    if (wanted.m_needs_ticket) {
        const std::string* ticket = find_ticket(state, wanted.m_name, worker.m_info.m_id, now);
        order.m_ticket = ticket != nullptr ? *ticket : std::string();
    }
    order.m_deadline_ms = worker_clock_ms(worker, now) + state.m_bounds.m_worker_lease.count();
    extend_lease(worker, order.m_deadline_ms);
    state.m_orders.push_back(std::move(order));
    ++state.m_starts;
}

run_number next_run(shard& state)
{
    return run_number(++state.m_next_run);
}

bool may_start(const shard& state, const scheduled_task& task, time_point now)
{
    const bool awaited = !state.m_awaited_workers.empty() && now < state.m_awaited_until;
    return task.m_phase == task_phase::ready && task.m_not_before <= now &&
           !(task.m_inherited && awaited);
}

bool earlier_steps_done(const submission_step& step, const occurrence_state& occurrence)
{
    return std::all_of(step.m_after.begin(), step.m_after.end(), [&](std::uint32_t earlier) {
        return occurrence.m_unfinished_tasks[earlier] == 0;
    });
}

/// Starts all members of a gang at once, or none.
void start_gang(shard& state, const open_room& room, submission_record& record,
                std::uint32_t occurrence, std::uint32_t step_index, time_point now)
{
    std::vector<scheduled_task>& tasks = record.m_occurrences[occurrence].m_steps[step_index];
    const submission_step& step = record.m_definition.m_steps[step_index];
    if (!std::all_of(tasks.begin(), tasks.end(),
                     [&](const scheduled_task& task) { return may_start(state, task, now); })) {
        return;
    }
    std::vector<std::string> racks{""};
    if (step.m_same_rack) {
        racks.clear();
        for (const auto& [id, worker] : state.m_workers) {
            const std::string& rack = worker->m_info.m_rack.str();
            if (std::find(racks.begin(), racks.end(), rack) == racks.end()) {
                racks.push_back(rack);
            }
        }
    }
    for (const std::string& rack : racks) {
        // The room that members take is given back where the gang does not fit as a whole.
        open_room trial = room;
        std::vector<worker_record*> chosen;
        std::vector<resources> reserved;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
            const wanted_task wanted =
                describe(state, record, {record.m_id, occurrence, step_index, i}, tasks[i]);
            worker_record* worker = choose_worker(state, trial, wanted, rack, now);
            if (worker == nullptr) {
                break;
            }
            worker->m_reserved = worker->m_reserved + wanted.m_demand;
            chosen.push_back(worker);
            reserved.push_back(wanted.m_demand);
        }
        for (std::size_t i = 0; i < chosen.size(); ++i) {
            chosen[i]->m_reserved = chosen[i]->m_reserved - reserved[i];
        }
        if (chosen.size() < tasks.size()) {
            continue;
        }
        const run_number run = next_run(state);
        std::string checkpoint;
        for (const scheduled_task& task : tasks) {
            checkpoint = std::max(checkpoint, task.m_checkpoint);
        }
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
            tasks[i].m_checkpoint = checkpoint;
            const wanted_task wanted =
                describe(state, record, {record.m_id, occurrence, step_index, i}, tasks[i]);
            start_run(state, wanted, tasks[i], *chosen[i], run, now);
        }
        return;
    }
}

void start_ready(shard& state, time_point now, wall_time wall)
{
    (void)wall;
    open_room room = find_open_room(state, now);
    std::size_t kept = 0;
    for (submission_record* record : state.m_ranked) {
        for (std::uint32_t k = 0; k < record->m_occurrences.size(); ++k) {
            occurrence_state& occurrence = record->m_occurrences[k];
            if (!occurrence.m_created || occurrence.m_done) {
                continue;
            }
            for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
                if (occurrence.m_unfinished_tasks[s] == 0 ||
                    !earlier_steps_done(record->m_definition.m_steps[s], occurrence)) {
                    continue;
                }
                if (record->m_definition.m_steps[s].m_gang) {
                    start_gang(state, room, *record, k, s, now);
                    continue;
                }
                for (std::uint32_t i = 0; i < occurrence.m_steps[s].size(); ++i) {
                    scheduled_task& task = occurrence.m_steps[s][i];
                    if (!may_start(state, task, now)) {
                        continue;
                    }
                    wanted_task wanted = describe(state, *record, {record->m_id, k, s, i}, task);
                    wanted.m_avoids_upkeep = wanted.m_step->m_lasting;
                    worker_record* worker = choose_worker(state, room, wanted, "", now);
                    if (worker == nullptr && wanted.m_avoids_upkeep) {
                        wanted.m_avoids_upkeep = false;
                        worker = choose_worker(state, room, wanted, "", now);
                    }
                    if (worker != nullptr) {
                        start_run(state, wanted, task, *worker, next_run(state), now);
                        continue;
                    }
                    state.m_unplaced_long_running += wanted.m_step->m_lasting ? 1 : 0;
                    // A worker is not kept for a task that waits for its ticket.
                    if (kept < max_kept_workers && !wanted.m_needs_ticket &&
                        keep_worker(room, wanted)) {
                        ++kept;
                    }
                    break;
                }
            }
        }
    }
}

/// Finds workers whose leases have surely ended, and orders what has to be stopped.
void review_workers(shard& state, time_point now)
{
    for (const auto& [id, owned] : state.m_workers) {
        worker_record& worker = *owned;
        if (worker.m_answered && !worker.m_lease_ended && now > worker.m_lease_until) {
            state.m_log_lines.push_back("worker's lease ended: worker=" + id.str() +
                                        " runs=" + std::to_string(worker.m_runs.size()));
            end_incarnation(state, worker, now, true);
        }
        for (auto& [key, slot] : worker.m_runs) {
            const bool stalled = slot.m_phase == run_phase::running && slot.m_percent < 100 &&
                                 now - slot.m_progress_at >
                                     (slot.m_long_running ? lasting_stall_time : stall_time) &&
                                 now - worker.m_last_heard_at < freshness && slot.m_pace == 100;
            if (stalled) {
                state.m_log_lines.push_back("run stands still: task=" + to_string(slot.m_task) +
                                            " worker=" + id.str());
                stop_run(state, worker, slot, false);
                record_worker_failure(state, worker, now);
            }
            if (slot.m_phase != run_phase::stopping || slot.m_order_pending ||
                slot.m_next_stop_at > now || !worker.m_answered || worker.m_lease_ended) {
                continue;
            }
            slot.m_order_pending = true;
            worker_order order;
            order.m_kind = worker_order::kind::stop;
            order.m_worker = id;
            order.m_address = worker.m_info.m_address;
            order.m_task = slot.m_task;
            order.m_run = slot.m_run;
            state.m_orders.push_back(std::move(order));
        }
    }
}

/// Lets go of final states that are no longer asked for.
void forget_old(shard& state, wall_time wall)
{
    const std::int64_t oldest = unix_ms(wall) - 2 * state.m_bounds.m_status_retention.count();
    for (auto it = state.m_submissions.begin(); it != state.m_submissions.end();) {
        const submission_record& record = *it->second;
        const bool shown = record.m_visible == record.m_final && record.m_final_decided;
        if (shown && record.m_closed_ms < oldest) {
            state.m_pending.m_entries.emplace_back(log_forgotten{record.m_id});
            it = state.m_submissions.erase(it);
        }
        else {
            ++it;
        }
    }
}

} // namespace

bool accepts_starts(const worker_record& worker, time_point now)
{
    return worker.m_answered && worker.m_use_stored && !worker.m_lease_ended && !worker.m_gone &&
           !worker.m_cordoned && !worker.m_info.m_draining && worker.m_quarantined_until <= now &&
           (worker.m_listed || now - worker.m_unlisted_since < unlisted_starts) &&
           now - worker.m_last_heard_at < freshness;
}

void apply_instructions(shard& state, const pool_instructions& what, time_point now)
{
    state.m_evacuate = what.m_urgent;
    state.m_incoming_machines = what.m_incoming_machines;
    state.m_incoming_updated_at = now;
    const std::set<machine_id> cordoned(what.m_cordoned.begin(), what.m_cordoned.end());
    const std::set<machine_id> due(what.m_upkeep_due.begin(), what.m_upkeep_due.end());
    for (const auto& [id, worker] : state.m_workers) {
        const bool wanted = cordoned.contains(worker->m_info.m_machine);
        if (wanted && !worker->m_cordoned) {
            worker->m_cordoned_since = now;
        }
        worker->m_cordoned = wanted;
        worker->m_upkeep_due = due.contains(worker->m_info.m_machine);
    }
}

bool is_clear(const shard& state, const machine_id& machine)
{
    bool known = false;
    for (const auto& [id, worker] : state.m_workers) {
        if (worker->m_info.m_machine != machine) {
            continue;
        }
        if (!worker->m_cordoned || !worker->m_runs.empty() || !worker->m_answered) {
            return false;
        }
        known = true;
    }
    return known;
}

void plan(shard& state, time_point now, wall_time wall)
{
    if (!state.m_loaded || state.m_lost) {
        return;
    }
    state.m_unplaced_long_running = 0;
    if (state.m_may_start) {
        evacuate(state, now);
    }
    review_workers(state, now);
    rank_submissions(state, now, wall);
    if (state.m_may_start && state.m_takeover_stored) {
        start_ready(state, now, wall);
    }
    adjust_paces(state, now);
    forget_old(state, wall);
}

} // namespace guavabay
