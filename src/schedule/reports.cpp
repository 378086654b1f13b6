#include <algorithm>

#include "schedule/advice.h"
#include "schedule/place_waits.h"
#include "schedule/quota_holder.h"
#include "schedule/shard_steps.h"
#include "submission/submission_cost.h"

namespace guavabay {

namespace {

/// Lowest rate of a worker's clock relative to real time, as stated by the platform.
constexpr double min_clock_rate = 0.98;

/// Delay before a stop order is repeated; it doubles with each attempt up to the maximum.
constexpr milliseconds initial_stop_retry_delay{200};
constexpr milliseconds max_stop_retry_delay{2000};

/// Delay before a task is started again after a refusal or a failure.
constexpr milliseconds retry_delay{50};
/// Delay before a long-running task is started again after a failure.
constexpr milliseconds long_running_retry_delay{100};

/// Consecutive failures on a worker, while tasks succeed elsewhere, after which it is quarantined.
/// Tasks are taken to succeed elsewhere while fewer than a third of the workers are quarantined.
constexpr std::uint32_t failures_before_quarantine = 2;
constexpr milliseconds initial_quarantine_time{1500};
constexpr milliseconds max_quarantine_time{12000};

/// Limit of ended runs in one report. When a report is full, a run missing from it may have ended
/// in an entry that was left out.
constexpr std::size_t max_reported_ends = 500;

/// Weight of the newest sample in the moving average of a worker's slowness.
constexpr double slowness_weight = 0.1;
/// Progress after which a run's time is extrapolated: rounding then errs by a fifth at most.
constexpr std::int32_t min_progress_percent = 5;
/// Samples are clamped to this range, which limits the effect of outliers.
constexpr double min_sample_ratio = 0.2;
constexpr double max_sample_ratio = 6;

/// Finds a run on a worker; null when the worker has no such run.
run_slot* find_slot(worker_record& worker, const task_name& task, run_number run)
{
    const auto found = worker.m_runs.find({task, run});
    return found == worker.m_runs.end() ? nullptr : &found->second;
}

/// True when a run on a worker is the current run of its task.
bool is_current(const worker_record& worker, const found_task& found, run_number run)
{
    return found.m_task != nullptr && found.m_task->m_worker == &worker &&
           found.m_task->m_run == run && found.m_task->m_phase == task_phase::placed;
}

/// Detaches a task's present run, if it has one. The run is stopped, unless it is a member of the
/// gang run that has ended and only its end has not been reported yet.
void detach_run(shard& state, const task_name& name, const scheduled_task& task, run_number ended)
{
    if (task.m_phase != task_phase::placed || task.m_worker == nullptr) {
        return;
    }
    run_slot* slot = find_slot(*task.m_worker, name, task.m_run);
    if (slot == nullptr) {
        return;
    }
    if (task.m_run == ended) {
        slot->m_detached = true;
        return;
    }
    stop_run(state, *task.m_worker, *slot, true);
}

/// Corrects a run's expected end by its progress since its first report, and tells its submission
/// how long its tasks take. Progress in whole percents tells nothing before some have passed, and
/// nothing of a run whose pace was changed. The time before the first percent is left out: a member
/// of a gang waits for the others.
void learn_from_progress(submission_record& record, scheduled_task& task, run_slot& slot,
                         time_point now)
{
    if (slot.m_long_running || slot.m_percent < 1 || slot.m_percent >= 100 ||
        slot.m_pace_at != time_point{} || slot.m_phase != run_phase::running) {
        return;
    }
    if (slot.m_first_percent < 0) {
        slot.m_first_percent = slot.m_percent;
        slot.m_first_percent_at = now;
        return;
    }
    const std::int32_t passed = slot.m_percent - slot.m_first_percent;
    if (passed < 1) {
        return;
    }
    const double percent_ms = to_milliseconds(now - slot.m_first_percent_at) / passed;
    // Replaced, not only raised: after a short standstill the limit falls again.
    slot.m_stall_time = usual_pause(milliseconds(static_cast<std::int64_t>(percent_ms * 100)));
    if (passed < min_progress_percent) {
        return;
    }
    const auto left = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(percent_ms * (100 - slot.m_percent)));
    task.m_expected_end = now + left;
    slot.m_estimate =
        std::chrono::duration_cast<milliseconds>(task.m_expected_end - slot.m_ordered_at);
    const submission_step& step = record.m_definition.m_steps[slot.m_task.m_step];
    if (!slot.m_told && step.m_estimate > milliseconds(0)) {
        slot.m_told = true;
        add_task_ratio(record.m_run_times, percent_ms * 100 / slot.m_place_factor /
                                               static_cast<double>(step.m_estimate.count()));
    }
}

/// Updates the worker's slowness and what is known of run times with a run that is done. Runs that
/// are long-running or below full pace are ignored: their times say nothing about the estimate.
void update_run_times(shard& state, worker_record& worker, submission_record& record,
                      const run_slot& slot, time_point now)
{
    const submission_step& step = record.m_definition.m_steps[slot.m_task.m_step];
    if (slot.m_long_running || step.m_estimate <= milliseconds(0) || slot.m_pace < 100 ||
        slot.m_partial) {
        return;
    }
    const double measured_ms = to_milliseconds(now - slot.m_ordered_at);
    const double estimate_ms = static_cast<double>(step.m_estimate.count());
    const double ratio = measured_ms / slot.m_place_factor / estimate_ms; // Near its data.
    const submission_run_times others =
        slot.m_told ? without_ratio(record.m_run_times, ratio) : record.m_run_times;
    const double expected_ms = estimate_ms * estimate_factor(run_times_of(state, record), others);
    note_run_ratio(state, ratio * estimate_ms / expected_ms);
    const double slowness =
        std::clamp(ratio * estimate_ms / expected_ms, min_sample_ratio, max_sample_ratio);
    // A single run that takes long is a task of the tail; on a slow worker all do.
    const double common = std::min(slowness, worker.m_last_slowness);
    worker.m_slowness += slowness_weight * (common - worker.m_slowness);
    worker.m_last_slowness = slowness;
    learn_run_time(state, record, others, ratio);
    if (!slot.m_told) {
        add_task_ratio(record.m_run_times, ratio);
    }
}

/// Adopts a run that a former owner started, or stops one that must not run.
void process_unknown_run(shard& state, worker_record& worker, const reported_run& reported,
                         time_point now)
{
    run_slot slot;
    slot.m_task = reported.m_task;
    slot.m_run = reported.m_run;
    slot.m_phase = run_phase::running;
    slot.m_reported = true;
    slot.m_ordered_at = now;
    slot.m_partial = true;
    slot.m_percent = reported.m_percent;
    slot.m_progress_at = now;
    const found_task found = find_or_create_task(state, reported.m_task);
    bool is_adoptable = false;
    slot.m_unknown_demand = found.m_record == nullptr;
    if (found.m_record != nullptr) {
        const submission_step& step = found.m_record->m_definition.m_steps[reported.m_task.m_step];
        slot.m_reserved = step.m_demand;
        slot.m_organisation = found.m_record->m_organisation;
        slot.m_counted = step.m_demand;
        slot.m_long_running = step.m_long_running;
        slot.m_uses_idle_cores = step.m_uses_idle_cores;
        slot.m_declared_cpu = step.m_demand.m_cpu_millis;
        slot.m_image = step.m_image;
        slot.m_tail_latency_target_ms = step.m_tail_latency_target_ms;
        slot.m_estimate = expected_time(state, *found.m_record, step);
        slot.m_stall_time = usual_pause(slot.m_estimate);
        if (step.m_uses_idle_cores) {
            slot.m_reserved.m_cpu_millis = 0;
        }
        // A blocked task counts too: the ends of its preceding steps may not have been reported
        // yet.
        is_adoptable = found.m_task != nullptr && (found.m_task->m_phase == task_phase::ready ||
                                                   found.m_task->m_phase == task_phase::blocked);
    }
    run_slot& added = add_run(state, worker, std::move(slot));
    if (found.m_record == nullptr) {
        note_stray_run(state, worker, added, false, now);
    }
    if (!is_adoptable) {
        stop_run(state, worker, added, true);
        return;
    }
    // A run that is stopped below still occupies its task, so that no second run starts beside it.
    scheduled_task& task = *found.m_task;
    set_phase(*found.m_step, task, task_phase::placed);
    task.m_worker = &worker;
    task.m_run = reported.m_run;
    task.m_started_at = now;
    task.m_expected_end = now + added.m_estimate;
    task.m_checkpoint = reported.m_checkpoint;
    task.m_available = reported.m_percent >= 100;
    found.m_record->m_started = true;
    if (!found.m_record->m_inherited) {
        stop_run(state, worker, added, false);
    }
}

/// Updates progress, load and checkpoint of a run that a worker reports; stops one that is
/// obsolete.
void process_reported_run(shard& state, worker_record& worker, const reported_run& reported,
                          time_point now)
{
    run_slot* slot = find_slot(worker, reported.m_task, reported.m_run);
    if (slot == nullptr) {
        process_unknown_run(state, worker, reported, now);
        return;
    }
    slot->m_reported = true;
    if (slot->m_phase == run_phase::ordered) {
        slot->m_phase = run_phase::running;
        slot->m_progress_at = now;
    }
    const bool has_progressed = reported.m_percent != slot->m_percent;
    if (has_progressed) {
        slot->m_percent = reported.m_percent;
        slot->m_progress_at = now;
    }
    slot->m_load = reported.m_load;
    const found_task found = find_task(state, reported.m_task);
    if (found.m_record != nullptr) {
        found.m_record->m_started = true;
    }
    else {
        note_stray_run(state, worker, *slot, true, now);
    }
    if (!is_current(worker, found, reported.m_run)) {
        if (slot->m_phase != run_phase::stopping) {
            stop_run(state, worker, *slot, true);
        }
        return;
    }
    if (has_progressed) {
        learn_from_progress(*found.m_record, *found.m_task, *slot, now);
    }
    if (!reported.m_checkpoint.empty()) {
        found.m_task->m_checkpoint = reported.m_checkpoint;
    }
    const bool at_work = reported.m_percent >= 100 && slot->m_phase == run_phase::running;
    if (slot->m_long_running && at_work != found.m_task->m_available) {
        found.m_task->m_available = at_work;
        found.m_task->m_moved_by_scheduler = found.m_task->m_moved_by_scheduler && !at_work;
    }
}

/// Schedules the retry of a failed task, or fails its submission after the last attempt. Failures
/// of long-running tasks are always retried.
void process_failure(shard& state, worker_record& worker, const found_task& found,
                     const reported_end& end, bool current, time_point now, wall_time wall)
{
    submission_record& record = *found.m_record;
    const submission_step& step = record.m_definition.m_steps[end.m_task.m_step];
    scheduled_task& task = *found.m_task;
    if (current) {
        make_ready(state, found,
                   now + (step.m_long_running ? long_running_retry_delay : retry_delay));
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
    if (failures >= contract_of(state, record).m_max_attempts) {
        close_submission(state, record, submission_state::failed, wall);
    }
}

/// Frees the resources of an ended run and updates its task and worker according to the outcome.
void process_end(shard& state, worker_record& worker, const reported_end& end, time_point now,
                 wall_time wall)
{
    const found_task found = find_or_create_task(state, end.m_task);
    run_slot* slot = find_slot(worker, end.m_task, end.m_run);
    const bool current = is_current(worker, found, end.m_run);
    if (end.m_outcome == run_end::done) {
        ++state.m_ends_done;
        worker.m_consecutive_failures = 0;
        worker.m_quarantine_time = milliseconds(0);
        worker.m_probing = false;
        if (slot != nullptr && found.m_record != nullptr) {
            update_run_times(state, worker, *found.m_record, *slot, now);
        }
    }
    else {
        ++state.m_ends_other;
        state.m_log_lines.push_back("run ended: task=" + to_string(end.m_task) +
                                    " run=" + std::to_string(end.m_run.get()) +
                                    " worker=" + worker.m_info.m_id.str() +
                                    " how=" + std::to_string(static_cast<int>(end.m_outcome)));
    }
    if (slot != nullptr) {
        erase_run(state, worker, worker.m_runs.find({end.m_task, end.m_run}));
    }
    if (found.m_task == nullptr) {
        if (end.m_outcome == run_end::done || end.m_outcome == run_end::failed) {
            note_deferred_end(state, end.m_task, end.m_outcome == run_end::done, end.m_run);
        }
        return;
    }
    found.m_record->m_started = true;
    if (current && !end.m_checkpoint.empty()) {
        found.m_task->m_checkpoint = end.m_checkpoint;
    }
    switch (end.m_outcome) {
    case run_end::done:
        finish_task(state, *found.m_record, end.m_task, end.m_run, wall);
        return;
    case run_end::failed:
        record_worker_failure(state, worker, now);
        process_failure(state, worker, found, end, current, now, wall);
        return;
    case run_end::stopped:
    case run_end::lease_ended:
    case run_end::gang_broken:
    case run_end::gang_incomplete:
        if (current) {
            make_ready(state, found, now);
        }
        return;
    }
}

/// Removes runs that are missing from a report although the worker had answered their start or stop
/// order before the report was requested.
void remove_unreported_runs(shard& state, worker_record& worker, const worker_report& report,
                            time_point sent, time_point now)
{
    std::set<std::pair<task_name, run_number>> listed;
    for (const reported_run& run : report.m_running) {
        listed.emplace(run.m_task, run.m_run);
    }
    for (auto it = worker.m_runs.begin(); it != worker.m_runs.end();) {
        run_slot& slot = it->second;
        const bool has_answer = slot.m_phase == run_phase::running || slot.m_stop_answered;
        const time_point settled_at =
            slot.m_stop_answered ? slot.m_stop_answered_at : slot.m_accepted_at;
        if (!has_answer || listed.contains(it->first) || settled_at >= sent ||
            slot.m_order_pending) {
            ++it;
            continue;
        }
        const run_slot removed = slot;
        ++it;
        free_slot(state, worker, removed, now);
    }
}

} // namespace

void make_ready(shard& state, const found_task& found, time_point not_before)
{
    scheduled_task& task = *found.m_task;
    set_phase(*found.m_step, task, task_phase::ready);
    task.m_worker = nullptr;
    task.m_not_before = not_before;
    task.m_available = false;
    state.m_ranking_stale = true;
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

void free_slot(shard& state, worker_record& worker, const run_slot& slot, time_point not_before)
{
    const found_task found = find_task(state, slot.m_task);
    if (is_current(worker, found, slot.m_run)) {
        make_ready(state, found, not_before);
    }
    erase_run(state, worker, worker.m_runs.find({slot.m_task, slot.m_run}));
}

run_slot& add_run(shard& state, worker_record& worker, run_slot slot)
{
    const auto key = std::pair(slot.m_task, slot.m_run);
    const auto present = worker.m_runs.find(key);
    if (present != worker.m_runs.end()) {
        erase_run(state, worker, present);
    }
    worker.m_reserved = worker.m_reserved + slot.m_reserved;
    worker.m_unknown_demands += slot.m_unknown_demand ? 1 : 0;
    add_usage(state, slot);
    return worker.m_runs.emplace(key, std::move(slot)).first->second;
}

std::map<std::pair<task_name, run_number>, run_slot>::iterator
erase_run(shard& state, worker_record& worker,
          std::map<std::pair<task_name, run_number>, run_slot>::iterator run)
{
    remove_usage(state, run->second);
    worker.m_reserved = worker.m_reserved - run->second.m_reserved;
    worker.m_unknown_demands -= run->second.m_unknown_demand ? 1 : 0;
    return worker.m_runs.erase(run);
}

void stop_run(shard& state, worker_record& worker, run_slot& slot, bool detach)
{
    const found_task found = find_task(state, slot.m_task);
    if (is_current(worker, found, slot.m_run)) {
        // The task counts as unavailable from the moment the stop is decided.
        found.m_task->m_available = false;
    }
    slot.m_detached = slot.m_detached || detach;
    worker.m_stop_due = true;
    if (slot.m_phase != run_phase::stopping) {
        slot.m_phase = run_phase::stopping;
        slot.m_stop_retry_delay = milliseconds(0);
        slot.m_next_stop_at = {};
        slot.m_stop_answered = false;
    }
}

bool is_done(const submission_record& record)
{
    return record.m_unfinished_occurrences == 0;
}

void finish_task(shard& state, submission_record& record, const task_name& name, run_number run,
                 wall_time wall)
{
    const found_task found = find_task(state, name);
    if (found.m_task == nullptr) {
        return;
    }
    if (record.m_definition.m_steps[name.m_step].m_long_running) {
        detach_run(state, name, *found.m_task, run);
        make_ready(state, found, found.m_task->m_not_before);
        return;
    }
    mark_done(record, name, [&](const scheduled_task& task, std::uint32_t index) {
        task_name member = name;
        member.m_index = index;
        detach_run(state, member, task, run);
        state.m_pending.m_entries.emplace_back(log_task_ended{member, true, {}});
    });
    state.m_ranking_stale = true;
    if (is_done(record) && !record.m_cancel_requested) {
        close_submission(state, record, submission_state::succeeded, wall);
    }
}

void close_submission(shard& state, submission_record& record, submission_state final_state,
                      wall_time wall)
{
    for (const auto& [number, occurrence] : record.m_occurrences) {
        for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
            for (const auto& [index, task] : occurrence.m_steps[step].m_started) {
                if (task.m_phase != task_phase::placed || task.m_worker == nullptr) {
                    continue;
                }
                const task_name name{record.m_id, number, static_cast<std::uint32_t>(step), index};
                run_slot* slot = find_slot(*task.m_worker, name, task.m_run);
                if (slot != nullptr) {
                    stop_run(state, *task.m_worker, *slot, true);
                }
            }
        }
    }
    erase_advice(state, record.m_id);
    if (final_state == submission_state::succeeded) {
        count_success(state, record, wall);
    }
    record.m_final_decided = true;
    record.m_final = final_state;
    record.m_closed_ms = unix_ms(wall);
    record.m_occurrences.clear();
    record.m_done_occurrences = {};
    record.m_definition = {};
    record.m_memory.hold(state.m_budget, memory_use::work, closed_submission_bytes);
    record.m_account = nullptr;
    state.m_open_submissions.erase(&record);
    state.m_ranking_stale = true;
    if (final_state != submission_state::canceled) {
        state.m_pending.m_entries.emplace_back(
            log_closed{record.m_id, final_state, record.m_closed_ms});
    }
}

void record_worker_failure(shard& state, worker_record& worker, time_point now)
{
    ++worker.m_consecutive_failures;
    if (worker.m_consecutive_failures < failures_before_quarantine) {
        return;
    }
    std::size_t quarantined = 0;
    for (const auto& [id, other] : state.m_workers) {
        quarantined += other->m_quarantined_until > now ? 1 : 0;
    }
    if (quarantined * 3 >= state.m_workers.size()) {
        return;
    }
    worker.m_quarantine_time = worker.m_quarantine_time == milliseconds(0)
                                   ? initial_quarantine_time
                                   : std::min(worker.m_quarantine_time * 2, max_quarantine_time);
    worker.m_quarantined_until = now + worker.m_quarantine_time;
    state.m_log_lines.push_back("worker shunned: worker=" + worker.m_info.m_id.str() +
                                " failures=" + std::to_string(worker.m_consecutive_failures) +
                                " for_ms=" + std::to_string(worker.m_quarantine_time.count()));
}

std::int64_t worker_clock_ms(const worker_record& worker, time_point now)
{
    return worker.m_clock_ms +
           std::chrono::duration_cast<milliseconds>(now - worker.m_clock_at).count();
}

duration longest_real_time(milliseconds by_worker_clock)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(by_worker_clock) / min_clock_rate);
}

void extend_lease(worker_record& worker, std::int64_t deadline_ms)
{
    const time_point until =
        worker.m_clock_at + longest_real_time(milliseconds(deadline_ms - worker.m_clock_ms));
    worker.m_lease_until = std::max(worker.m_lease_until, until);
}

fencing_token token_of(const shard& state, const worker_id& worker)
{
    const auto found = state.m_workers.find(worker);
    return found == state.m_workers.end() ? state.m_token
                                          : std::max(state.m_token, found->second->m_guard.m_token);
}

order_outcome judge_refusal(shard& state, const worker_id& worker, fencing_token sent,
                            order_outcome outcome)
{
    if (outcome != order_outcome::refused_stale_token || sent >= token_of(state, worker)) {
        return outcome;
    }
    state.m_log_lines.push_back("restarted worker refused a call for its former incarnation: "
                                "worker=" +
                                worker.str() + " token=" + std::to_string(sent.get()));
    return order_outcome::withheld;
}

std::optional<hold_request> next_hold_request(shard& state, const worker_id& id, time_point now)
{
    const auto found = state.m_workers.find(id);
    if (found == state.m_workers.end() || state.m_lost) {
        return std::nullopt;
    }
    worker_record& worker = *found->second;
    note_hold_prepared(worker.m_guard, now);
    // A request without an answer may still have extended the lease. After a failure the request
    // carries no deadline, so that the lease of a lost worker expires, and acknowledges nothing,
    // since the worker may have restarted.
    hold_request request{id, worker.m_info.m_address, std::nullopt,
                         worker.m_hold_failed ? 0 : worker.m_stored_end};
    if (worker.m_answered && worker.m_clock_at != time_point{} && state.m_may_hold &&
        !worker.m_hold_failed) {
        const std::int64_t deadline =
            worker_clock_ms(worker, now) + state.m_bounds.m_worker_lease.count();
        request.m_deadline_ms = deadline;
        extend_lease(worker, deadline);
    }
    return request;
}

void apply_report(shard& state, const worker_id& id, const worker_report& report, time_point sent,
                  time_point now, wall_time wall)
{
    const auto found = state.m_workers.find(id);
    if (found == state.m_workers.end()) {
        return;
    }
    worker_record& worker = *found->second;
    if (report.m_incarnation_start_ms != 0 && worker.m_incarnation_start_ms != 0 &&
        report.m_incarnation_start_ms != worker.m_incarnation_start_ms) {
        if (report.m_incarnation_start_ms < worker.m_incarnation_start_ms &&
            sent <= worker.m_incarnation_known_at) {
            state.m_log_lines.push_back("report of a former incarnation ignored: worker=" +
                                        id.str());
            return;
        }
        begin_incarnation(state, worker, report.m_incarnation_start_ms, now);
    }
    if (report.m_incarnation_start_ms != 0) {
        worker.m_incarnation_start_ms = report.m_incarnation_start_ms;
    }
    if (!worker.m_answered || report.m_clock_ms >= worker.m_clock_ms) {
        worker.m_clock_ms = report.m_clock_ms;
        worker.m_clock_at = now;
    }
    const bool is_first = !worker.m_answered || worker.m_lease_ended;
    const duration longest_lease = longest_real_time(state.m_bounds.m_max_worker_lease);
    if (note_answer(worker.m_guard, worker.m_incarnation_start_ms, sent, now, longest_lease)) {
        worker.m_lease_until = std::max(worker.m_lease_until, now + longest_lease);
    }
    if (is_first) {
        // A lease that was granted before to a settled incarnation and still runs lasts no longer
        // than one granted now.
        worker.m_answered = true;
        state.m_awaited_workers.erase(id);
        worker.m_lease_until =
            std::max(worker.m_lease_until, now + longest_real_time(state.m_bounds.m_worker_lease));
        if (worker.m_guard.m_settles_at != time_point{}) {
            state.m_log_lines.push_back(
                "lease of a restarted worker may be the longest: worker=" + id.str() +
                " start_ms=" + std::to_string(worker.m_incarnation_start_ms) +
                " runs=" + std::to_string(report.m_running.size()) + " for_ms=" +
                std::to_string(
                    std::chrono::duration_cast<milliseconds>(worker.m_lease_until - now).count()));
        }
    }
    worker.m_lease_ended = false;
    worker.m_hold_failed = false;
    worker.m_no_connection = false;
    worker.m_last_heard_at = now;
    note_report(state, worker, report, now);
    for (const reported_end& end : report.m_ended) {
        if (end.m_number > worker.m_seen_end) {
            worker.m_seen_end = end.m_number;
            process_end(state, worker, end, now, wall);
            state.m_pending.m_ends.push_back({id, worker.m_incarnation_start_ms, end.m_number});
        }
    }
    for (const reported_run& run : report.m_running) {
        process_reported_run(state, worker, run, now);
    }
    if (report.m_ended.size() < max_reported_ends) {
        remove_unreported_runs(state, worker, report, sent, now);
    }
}

void apply_hold_failure(shard& state, const worker_id& id, order_outcome outcome, time_point now)
{
    const auto found = state.m_workers.find(id);
    if (found == state.m_workers.end()) {
        return;
    }
    found->second->m_hold_failed = true;
    if (outcome == order_outcome::refused_stale_token) {
        state.m_lost = true;
        state.m_log_lines.push_back(
            "worker refused the fencing token, a newer owner exists: worker=" + id.str());
    }
    else if (outcome == order_outcome::other_incarnation) {
        worker_record& worker = *found->second;
        note_other_incarnation(state, worker, now);
        end_incarnation(state, worker, now, false);
        while (!worker.m_runs.empty()) {
            erase_run(state, worker, worker.m_runs.begin());
        }
        worker.m_answered = false;
        if (worker.m_listed) {
            worker.m_listed = false;
            worker.m_unlisted_since = now;
        }
    }
}

void apply_order_answer(shard& state, const worker_order& order, order_outcome outcome,
                        time_point now, wall_time wall)
{
    (void)wall;
    note_order_answer(state, order, outcome);
    if (outcome == order_outcome::refused_stale_token) {
        state.m_lost = true;
        state.m_log_lines.push_back(
            "worker refused the fencing token, a newer owner exists: worker=" +
            order.m_worker.str());
        return;
    }
    const auto found = state.m_workers.find(order.m_worker);
    if (found == state.m_workers.end()) {
        return;
    }
    worker_record& worker = *found->second;
    if (outcome == order_outcome::other_incarnation) {
        apply_hold_failure(state, order.m_worker, outcome, now);
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
        slot->m_stop_retry_delay =
            slot->m_stop_retry_delay == milliseconds(0)
                ? initial_stop_retry_delay
                : std::min(slot->m_stop_retry_delay * 2, max_stop_retry_delay);
        slot->m_next_stop_at = now + slot->m_stop_retry_delay;
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
        if (const found_task found = find_task(state, order.m_task); found.m_record != nullptr) {
            found.m_record->m_started = true;
        }
        return;
    case order_outcome::unknown:
        state.m_log_lines.push_back("start unanswered: task=" + to_string(order.m_task) +
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
        invalidate_ticket(state, order.m_task, order.m_worker);
        break;
    case order_outcome::refused_busy:
        record_worker_failure(state, worker, now);
        break;
    case order_outcome::not_sent:
        if (!worker.m_no_connection) {
            state.m_log_lines.push_back("worker takes no connections, gets no starts until it "
                                        "answers: worker=" +
                                        order.m_worker.str() + " address=" + order.m_address);
        }
        worker.m_no_connection = true;
        break;
    default:
        break;
    }
    if (outcome != order_outcome::not_sent && outcome != order_outcome::withheld) {
        state.m_log_lines.push_back("start refused: task=" + to_string(order.m_task) +
                                    " worker=" + order.m_worker.str() +
                                    " outcome=" + std::to_string(static_cast<int>(outcome)));
    }
    if (slot->m_phase != run_phase::stopping || !slot->m_detached) {
        const run_slot refused = *slot;
        free_slot(state, worker, refused, now + retry_delay);
    }
}

} // namespace guavabay
