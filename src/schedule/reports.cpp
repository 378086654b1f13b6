#include <algorithm>

#include "schedule/advice.h"
#include "schedule/shard_steps.h"

namespace guavabay {

namespace {

/// The slowest clock that a worker may have, as a share of the true speed; stated by the platform.
constexpr double slowest_clock = 0.98;

/// Pause before a stop that was not answered is ordered again, and its upper limit.
constexpr milliseconds first_stop_pause{200};
constexpr milliseconds max_stop_pause{2000};

/// Pause before a task is started again after a refusal or a failure.
constexpr milliseconds retry_pause{50};
/// Pause before a lasting task is started again after it failed.
constexpr milliseconds lasting_retry_pause{100};

/// Failures in a row on a worker, with success elsewhere, after which it is shunned.
constexpr std::uint32_t failures_before_shun = 2;
constexpr milliseconds first_shun_time{1500};
constexpr milliseconds max_shun_time{12000};

/// Ends that a worker lists at a time; a full list may hide that a run has ended.
constexpr std::size_t listed_ends = 500;

/// Weight of the newest sample in the smoothed slowness of a worker and ratio of a queue.
constexpr double slowness_weight = 0.1;
constexpr double ratio_weight = 0.05;
constexpr std::uint32_t quick_samples = 20;
constexpr double least_sample = 0.2;
constexpr double largest_sample = 6;

run_slot* find_slot(held_worker& worker, const task_name& task, run_number run)
{
    const auto found = worker.m_runs.find({task, run});
    return found == worker.m_runs.end() ? nullptr : &found->second;
}

/// The worker's run of a task belongs to the task as it stands.
bool is_current(const held_worker& worker, const found_task& found, run_number run)
{
    return found.m_task != nullptr && found.m_task->m_worker == &worker &&
           found.m_task->m_run == run && found.m_task->m_phase == task_phase::placed;
}

void learn_duration(shard& state, held_worker& worker, const submission_record& record,
                    const run_slot& slot, time_point now)
{
    if (slot.m_lasting || slot.m_estimate <= milliseconds(0) || slot.m_pace < 100) {
        return;
    }
    const submission_step& step = record.m_what.m_steps[slot.m_task.m_step];
    const double measured = to_milliseconds(now - slot.m_ordered_at);
    const double ratio = std::clamp(measured / static_cast<double>(step.m_estimate.count()),
                                    least_sample, largest_sample);
    const double expected = static_cast<double>(std::max(slot.m_estimate, milliseconds(1)).count());
    const double slowness = std::clamp(measured / expected, least_sample, largest_sample);
    worker.m_slowness += slowness_weight * (slowness - worker.m_slowness);
    duration_model& model = state.m_durations[record.m_queue];
    ++model.m_samples;
    const double weight = model.m_samples < quick_samples ? 1.0 / model.m_samples : ratio_weight;
    model.m_ratio += weight * (ratio - model.m_ratio);
}

/// Adopts a run that a former owner started, or marks one that must not be there.
void take_unknown_run(shard& state, held_worker& worker, const reported_run& reported,
                      time_point now)
{
    run_slot slot;
    slot.m_task = reported.m_task;
    slot.m_run = reported.m_run;
    slot.m_phase = run_phase::running;
    slot.m_ordered_at = now;
    slot.m_percent = reported.m_percent;
    slot.m_progress_at = now;
    const found_task found = find_task(state, reported.m_task);
    bool free = false;
    slot.m_unknown_size = found.m_task == nullptr;
    if (found.m_task != nullptr) {
        const submission_step& step = found.m_record->m_what.m_steps[reported.m_task.m_step];
        slot.m_reserved = step.m_demand;
        slot.m_lasting = step.m_long_running;
        slot.m_fills = step.m_uses_idle_cores;
        slot.m_declared_cpu = step.m_demand.m_cpu_millis;
        slot.m_image = step.m_image;
        slot.m_tail_target_ms = step.m_tail_latency_target_ms;
        slot.m_estimate = expected_time(state, *found.m_record, step);
        if (step.m_uses_idle_cores) {
            slot.m_reserved.m_cpu_millis = 0;
        }
        // The ends that let it start may not be known here yet.
        free = found.m_task->m_phase == task_phase::ready ||
               found.m_task->m_phase == task_phase::blocked;
    }
    worker.m_reserved = worker.m_reserved + slot.m_reserved;
    run_slot& added =
        worker.m_runs.insert_or_assign({reported.m_task, reported.m_run}, slot).first->second;
    if (!free) {
        stop_run(state, worker, added, true);
        return;
    }
    // Even a run that is not wanted keeps its task from being started beside it.
    scheduled_task& task = *found.m_task;
    task.m_phase = task_phase::placed;
    task.m_worker = &worker;
    task.m_run = reported.m_run;
    task.m_checkpoint = reported.m_checkpoint;
    task.m_at_work = reported.m_percent >= 100;
    found.m_record->m_started = true;
    if (!task.m_inherited) {
        stop_run(state, worker, added, false);
    }
}

void take_running(shard& state, held_worker& worker, const reported_run& reported, time_point now)
{
    run_slot* slot = find_slot(worker, reported.m_task, reported.m_run);
    if (slot == nullptr) {
        take_unknown_run(state, worker, reported, now);
        return;
    }
    if (slot->m_phase == run_phase::ordered) {
        slot->m_phase = run_phase::running;
        slot->m_progress_at = now;
    }
    if (reported.m_percent != slot->m_percent) {
        slot->m_percent = reported.m_percent;
        slot->m_progress_at = now;
    }
    slot->m_load = reported.m_load;
    const found_task found = find_task(state, reported.m_task);
    if (!is_current(worker, found, reported.m_run)) {
        if (slot->m_phase != run_phase::stopping) {
            stop_run(state, worker, *slot, true);
        }
        return;
    }
    if (!reported.m_checkpoint.empty()) {
        found.m_task->m_checkpoint = reported.m_checkpoint;
    }
    const bool at_work = reported.m_percent >= 100 && slot->m_phase == run_phase::running;
    if (slot->m_lasting && at_work != found.m_task->m_at_work) {
        found.m_task->m_at_work = at_work;
        found.m_task->m_away_since = now;
        found.m_task->m_moved_by_us = found.m_task->m_moved_by_us && !at_work;
    }
}

void take_failure(shard& state, held_worker& worker, const found_task& found,
                  const reported_end& end, bool current, time_point now, wall_time wall)
{
    submission_record& record = *found.m_record;
    const submission_step& step = record.m_what.m_steps[end.m_task.m_step];
    scheduled_task& task = *found.m_task;
    if (current) {
        make_ready(state, task, now + (step.m_long_running ? lasting_retry_pause : retry_pause));
    }
    task.m_failed_on = worker.m_info.m_id;
    if (step.m_long_running) {
        return;
    }
    if (!count_failure(task, end.m_run)) {
        return;
    }
    state.m_pending.m_entries.emplace_back(log_task_ended{end.m_task, false, end.m_run});
    const auto failures = static_cast<std::int32_t>(task.m_failed_runs.size());
    if (failures >= contract_of(state, record).m_max_attempts && task.m_phase != task_phase::done) {
        close_submission(state, record, submission_state::failed, wall);
    }
}

void take_end(shard& state, held_worker& worker, const reported_end& end, time_point now,
              wall_time wall)
{
    const found_task found = find_task(state, end.m_task);
    run_slot* slot = find_slot(worker, end.m_task, end.m_run);
    const bool current = is_current(worker, found, end.m_run);
    if (end.m_outcome == run_end::done) {
        ++state.m_ends_done;
        worker.m_failures_in_row = 0;
        worker.m_shun_time = milliseconds(0);
        worker.m_probing = false;
        if (slot != nullptr && found.m_record != nullptr) {
            learn_duration(state, worker, *found.m_record, *slot, now);
        }
    }
    else {
        ++state.m_ends_other;
        state.m_notes.push_back("run ended: task=" + to_string(end.m_task) +
                                " run=" + std::to_string(end.m_run.get()) +
                                " worker=" + worker.m_info.m_id.str() +
                                " how=" + std::to_string(static_cast<int>(end.m_outcome)));
    }
    if (slot != nullptr) {
        worker.m_reserved = worker.m_reserved - slot->m_reserved;
        worker.m_runs.erase({end.m_task, end.m_run});
    }
    if (found.m_task == nullptr) {
        return;
    }
    if (current && !end.m_checkpoint.empty()) {
        found.m_task->m_checkpoint = end.m_checkpoint;
    }
    switch (end.m_outcome) {
    case run_end::done:
        finish_task(state, *found.m_record, end.m_task, wall);
        return;
    case run_end::failed:
        blame_worker(state, worker, now);
        take_failure(state, worker, found, end, current, now, wall);
        return;
    case run_end::stopped:
    case run_end::lease_ended:
    case run_end::gang_broken:
    case run_end::gang_incomplete:
        if (current) {
            make_ready(state, *found.m_task, now);
        }
        return;
    }
}

/// Frees the room of runs that the worker does not list although it has answered about them.
void drop_vanished(shard& state, held_worker& worker, const worker_report& report, time_point sent,
                   time_point now)
{
    std::set<std::pair<task_name, run_number>> listed;
    for (const reported_run& run : report.m_running) {
        listed.emplace(run.m_task, run.m_run);
    }
    for (auto it = worker.m_runs.begin(); it != worker.m_runs.end();) {
        run_slot& slot = it->second;
        const bool answered = slot.m_phase == run_phase::running || slot.m_stop_answered;
        const time_point settled =
            slot.m_stop_answered ? slot.m_stop_answered_at : slot.m_accepted_at;
        if (!answered || listed.contains(it->first) || settled >= sent || slot.m_order_pending) {
            ++it;
            continue;
        }
        const run_slot gone = slot;
        ++it;
        free_slot(state, worker, gone, now);
    }
}

} // namespace

void make_ready(shard& state, scheduled_task& task, time_point not_before)
{
    task.m_phase = task_phase::ready;
    task.m_worker = nullptr;
    task.m_not_before = not_before;
    if (task.m_at_work) {
        task.m_away_since = not_before;
    }
    task.m_at_work = false;
    state.m_order_changed = true;
}

bool count_failure(scheduled_task& task, run_number run)
{
    if (std::find(task.m_failed_runs.begin(), task.m_failed_runs.end(), run) !=
        task.m_failed_runs.end()) {
        return false;
    }
    task.m_failed_runs.push_back(run);
    return true;
}

void free_slot(shard& state, held_worker& worker, const run_slot& slot, time_point not_before)
{
    const found_task found = find_task(state, slot.m_task);
    if (is_current(worker, found, slot.m_run)) {
        make_ready(state, *found.m_task, not_before);
    }
    worker.m_reserved = worker.m_reserved - slot.m_reserved;
    worker.m_runs.erase({slot.m_task, slot.m_run});
}

void stop_run(shard& state, held_worker& worker, run_slot& slot, bool detach)
{
    const found_task found = find_task(state, slot.m_task);
    if (is_current(worker, found, slot.m_run)) {
        // From the order on the task counts as away.
        found.m_task->m_at_work = false;
    }
    slot.m_detached = slot.m_detached || detach;
    if (slot.m_phase != run_phase::stopping) {
        slot.m_phase = run_phase::stopping;
        slot.m_stop_pause = milliseconds(0);
        slot.m_next_stop = {};
        slot.m_stop_answered = false;
    }
}

void finish_task(shard& state, submission_record& record, const task_name& name, wall_time wall)
{
    const found_task found = find_task(state, name);
    if (found.m_task == nullptr || found.m_task->m_phase == task_phase::done) {
        return;
    }
    scheduled_task& task = *found.m_task;
    occurrence_state& occurrence = record.m_occurrences[name.m_occurrence];
    if (task.m_phase == task_phase::placed && task.m_worker != nullptr) {
        run_slot* other = find_slot(*task.m_worker, name, task.m_run);
        if (other != nullptr) {
            stop_run(state, *task.m_worker, *other, true);
        }
    }
    const submission_step& step = record.m_what.m_steps[name.m_step];
    if (step.m_long_running) {
        make_ready(state, task, task.m_not_before);
        return;
    }
    task.m_phase = task_phase::done;
    task.m_worker = nullptr;
    task.m_checkpoint.clear();
    --occurrence.m_open[name.m_step];
    state.m_pending.m_entries.emplace_back(log_task_ended{name, true, {}});
    state.m_order_changed = true;
    unblock_steps(record, occurrence);
    occurrence.m_done = std::all_of(occurrence.m_open.begin(), occurrence.m_open.end(),
                                    [](std::uint32_t open) { return open == 0; });
    const bool all_done = std::all_of(record.m_occurrences.begin(), record.m_occurrences.end(),
                                      [](const occurrence_state& one) { return one.m_done; });
    if (all_done && !record.m_cancel_requested) {
        close_submission(state, record, submission_state::succeeded, wall);
    }
}

void close_submission(shard& state, submission_record& record, submission_state final_state,
                      wall_time wall)
{
    for (occurrence_state& occurrence : record.m_occurrences) {
        for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
            for (std::size_t index = 0; index < occurrence.m_steps[step].size(); ++index) {
                scheduled_task& task = occurrence.m_steps[step][index];
                if (task.m_phase != task_phase::placed || task.m_worker == nullptr) {
                    continue;
                }
                const auto number =
                    static_cast<std::uint32_t>(&occurrence - record.m_occurrences.data());
                run_slot* slot = find_slot(*task.m_worker,
                                           {record.m_id, number, static_cast<std::uint32_t>(step),
                                            static_cast<std::uint32_t>(index)},
                                           task.m_run);
                if (slot != nullptr) {
                    stop_run(state, *task.m_worker, *slot, true);
                }
            }
        }
    }
    forget_advice(state, record.m_id);
    record.m_final_decided = true;
    record.m_final = final_state;
    record.m_closed_ms = unix_ms(wall);
    record.m_occurrences.clear();
    record.m_what = {};
    state.m_open.erase(&record);
    state.m_order_changed = true;
    if (final_state != submission_state::canceled) {
        state.m_pending.m_entries.emplace_back(
            log_closed{record.m_id, final_state, record.m_closed_ms});
    }
}

void blame_worker(shard& state, held_worker& worker, time_point now)
{
    ++worker.m_failures_in_row;
    if (worker.m_failures_in_row < failures_before_shun) {
        return;
    }
    std::size_t shunned = 0;
    for (const auto& [id, other] : state.m_workers) {
        shunned += other->m_shunned_until > now ? 1 : 0;
    }
    if (shunned * 3 >= state.m_workers.size()) {
        return;
    }
    worker.m_shun_time = worker.m_shun_time == milliseconds(0)
                             ? first_shun_time
                             : std::min(worker.m_shun_time * 2, max_shun_time);
    worker.m_shunned_until = now + worker.m_shun_time;
    state.m_notes.push_back("worker shunned: worker=" + worker.m_info.m_id.str() +
                            " failures=" + std::to_string(worker.m_failures_in_row) +
                            " for_ms=" + std::to_string(worker.m_shun_time.count()));
}

std::int64_t worker_clock(const held_worker& worker, time_point now)
{
    return worker.m_clock_ms +
           std::chrono::duration_cast<milliseconds>(now - worker.m_clock_at).count();
}

void extend_lease(held_worker& worker, std::int64_t deadline_ms)
{
    const double left = static_cast<double>(deadline_ms - worker.m_clock_ms) / slowest_clock;
    const time_point until =
        worker.m_clock_at +
        std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(left));
    worker.m_lease_until = std::max(worker.m_lease_until, until);
}

std::optional<hold_request> next_hold(shard& state, const worker_id& id, time_point now)
{
    const auto found = state.m_workers.find(id);
    if (found == state.m_workers.end() || state.m_lost) {
        return std::nullopt;
    }
    held_worker& worker = *found->second;
    hold_request request{id, worker.m_info.m_address, std::nullopt, worker.m_stored_end};
    // A hold that gets no answer may still extend the lease; after a failure the worker is only
    // asked, so that a lost worker's lease ends.
    if (worker.m_answered && worker.m_clock_at != time_point{} && state.m_may_hold &&
        !worker.m_hold_failed) {
        const std::int64_t deadline =
            worker_clock(worker, now) + state.m_bounds.m_worker_lease.count();
        request.m_deadline_ms = deadline;
        extend_lease(worker, deadline);
    }
    return request;
}

void take_report(shard& state, const worker_id& id, const worker_report& report, time_point sent,
                 time_point now, wall_time wall)
{
    const auto found = state.m_workers.find(id);
    if (found == state.m_workers.end()) {
        return;
    }
    held_worker& worker = *found->second;
    if (report.m_incarnation_start_ms != 0 && worker.m_born_ms != 0 &&
        report.m_incarnation_start_ms != worker.m_born_ms) {
        state.m_notes.push_back("worker has a new life: worker=" + id.str());
        end_life(state, worker, now, true);
        worker.m_seen_end = 0;
        worker.m_stored_end = 0;
        worker.m_answered = false;
    }
    if (report.m_incarnation_start_ms != 0) {
        worker.m_born_ms = report.m_incarnation_start_ms;
    }
    if (!worker.m_answered || report.m_clock_ms >= worker.m_clock_ms) {
        worker.m_clock_ms = report.m_clock_ms;
        worker.m_clock_at = now;
    }
    if (!worker.m_answered) {
        worker.m_answered = true;
        state.m_awaited.erase(id);
        worker.m_lease_until = std::max(
            worker.m_lease_until,
            now + std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(
                      state.m_bounds.m_worker_lease / slowest_clock)));
    }
    worker.m_lapsed = false;
    worker.m_hold_failed = false;
    worker.m_heard_at = now;
    for (const reported_end& end : report.m_ended) {
        if (end.m_number > worker.m_seen_end) {
            worker.m_seen_end = end.m_number;
            take_end(state, worker, end, now, wall);
            state.m_pending.m_ends.emplace_back(id, end.m_number);
        }
    }
    for (const reported_run& run : report.m_running) {
        take_running(state, worker, run, now);
    }
    if (report.m_ended.size() < listed_ends) {
        drop_vanished(state, worker, report, sent, now);
    }
}

void take_hold_failure(shard& state, const worker_id& id, order_outcome outcome, time_point now)
{
    const auto found = state.m_workers.find(id);
    if (found == state.m_workers.end()) {
        return;
    }
    found->second->m_hold_failed = true;
    if (outcome == order_outcome::refused_stale_token) {
        state.m_lost = true;
        state.m_notes.push_back("a worker knows a newer owner: worker=" + id.str());
    }
    else if (outcome == order_outcome::other_incarnation) {
        held_worker& worker = *found->second;
        end_life(state, worker, now, false);
        worker.m_runs.clear();
        worker.m_reserved = {};
        worker.m_answered = false;
        if (worker.m_listed) {
            worker.m_listed = false;
            worker.m_unlisted_since = now;
        }
    }
}

void take_order_answer(shard& state, const worker_order& order, order_outcome outcome,
                       time_point now, wall_time wall)
{
    (void)wall;
    if (outcome == order_outcome::refused_stale_token) {
        state.m_lost = true;
        state.m_notes.push_back("a worker knows a newer owner: worker=" + order.m_worker.str());
        return;
    }
    const auto found = state.m_workers.find(order.m_worker);
    if (found == state.m_workers.end()) {
        return;
    }
    held_worker& worker = *found->second;
    if (outcome == order_outcome::other_incarnation) {
        take_hold_failure(state, order.m_worker, outcome, now);
        return;
    }
    run_slot* slot = find_slot(worker, order.m_task, order.m_run);
    if (slot == nullptr) {
        return;
    }
    slot->m_order_pending = false;
    if (order.m_kind == worker_order::kind::stop) {
        if (outcome == order_outcome::accepted || outcome == order_outcome::refused_stale_run) {
            if (!slot->m_stop_answered) {
                slot->m_stop_answered = true;
                slot->m_stop_answered_at = now;
            }
        }
        slot->m_stop_pause = slot->m_stop_pause == milliseconds(0)
                                 ? first_stop_pause
                                 : std::min(slot->m_stop_pause * 2, max_stop_pause);
        slot->m_next_stop = now + slot->m_stop_pause;
        return;
    }
    if (order.m_kind == worker_order::kind::pace) {
        if (outcome == order_outcome::accepted) {
            slot->m_pace = order.m_percent;
            slot->m_pace_at = now;
        }
        return;
    }
    switch (outcome) {
    case order_outcome::accepted:
        if (slot->m_phase == run_phase::ordered) {
            slot->m_phase = run_phase::running;
            slot->m_accepted_at = now;
            slot->m_progress_at = now;
        }
        return;
    case order_outcome::unknown:
        state.m_notes.push_back("start unanswered: task=" + to_string(order.m_task) +
                                " run=" + std::to_string(order.m_run.get()) +
                                " worker=" + order.m_worker.str());
        if (slot->m_phase == run_phase::ordered) {
            stop_run(state, worker, *slot, false);
        }
        return;
    case order_outcome::refused_stale_run:
        state.m_next_run = std::max(state.m_next_run, order.m_run.get()) + 1;
        break;
    case order_outcome::refused_ticket:
        drop_ticket(state, order.m_task, order.m_worker);
        break;
    case order_outcome::refused_busy:
        blame_worker(state, worker, now);
        break;
    default:
        break;
    }
    if (outcome != order_outcome::not_sent) {
        state.m_notes.push_back("start refused: task=" + to_string(order.m_task) +
                                " worker=" + order.m_worker.str() +
                                " outcome=" + std::to_string(static_cast<int>(outcome)));
    }
    if (slot->m_phase != run_phase::stopping || !slot->m_detached) {
        const run_slot refused = *slot;
        free_slot(state, worker, refused, now + retry_pause);
    }
}

} // namespace guavabay
