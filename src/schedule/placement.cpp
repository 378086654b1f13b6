#include <algorithm>

#include "schedule/advice.h"
#include "schedule/place_waits.h"
#include "schedule/quota_holder.h"
#include "schedule/worker_choice.h"

namespace guavabay {

namespace {

/// A worker whose last report is older gets no starts.
constexpr milliseconds max_report_age{1500};

/// A worker that has been missing from the platform's list for this long gets no starts.
constexpr milliseconds unlisted_start_grace{2500};

/// A run without progress for this long is considered stalled.
constexpr milliseconds stall_timeout{1600};
/// A long-running task that is not available within this time is restarted elsewhere.
constexpr milliseconds long_running_stall_timeout{5000};

/// Interval of checks that look at every run of every worker: leases, stalled runs, long-running
/// tasks that have to leave their worker, and paces.
constexpr milliseconds worker_review_interval{20};

/// Minimum time between two starts of submissions that a ranking has put first because they were
/// starving, so that they don't take a pool from the work that can be on time.
constexpr milliseconds starving_start_interval{1000};

/// A task without a worker for this long while most of the pool is idle is logged.
constexpr milliseconds waiting_task_log_delay{2500};

/// Interval of searches for submissions that are to be erased.
constexpr milliseconds purge_interval{1000};

/// Reserves the resources of a run on a worker and queues its start order.
void start_run(shard& state, const placement_request& request, scheduled_task& task,
               candidate_worker& candidate, run_number run, time_point now)
{
    worker_record& worker = *candidate.m_worker;
    candidate.m_free = candidate.m_free - request.m_demand;
    if (request.m_step->m_long_running) {
        candidate.m_room = candidate.m_room - request.m_demand;
    }
    run_slot slot;
    slot.m_task = request.m_name;
    slot.m_run = run;
    slot.m_reserved = request.m_demand;
    slot.m_long_running = request.m_step->m_long_running;
    slot.m_partial = !task.m_checkpoint.empty();
    slot.m_order_pending = true;
    slot.m_ordered_at = now;
    slot.m_progress_at = now;
    slot.m_estimate = milliseconds(static_cast<std::int64_t>(
        static_cast<double>(request.m_expected_duration.count()) * request.m_place_factor));
    slot.m_place_factor = request.m_place_factor;
    const double high =
        high_over_typical(run_times_of(state, *request.m_record), request.m_record->m_run_times);
    slot.m_stall_time = usual_pause(milliseconds(
        static_cast<std::int64_t>(high * static_cast<double>(slot.m_estimate.count()))));
    slot.m_image = request.m_step->m_image;
    slot.m_tail_latency_target_ms = request.m_step->m_tail_latency_target_ms;
    slot.m_uses_idle_cores = request.m_step->m_uses_idle_cores;
    slot.m_declared_cpu = request.m_step->m_demand.m_cpu_millis;
    slot.m_organisation = request.m_record->m_organisation;
    slot.m_counted = request.m_step->m_demand;
    task.m_expected_end = now + slot.m_estimate;
    add_run(state, worker, std::move(slot));
    request.m_record->m_last_start = now;
    if (request.m_record->m_starving) {
        request.m_record->m_starving = false;
        state.m_next_starving_start = now + starving_start_interval;
        state.m_ranking_stale = true;
    }
    set_phase(request.m_record->m_occurrences[request.m_name.m_occurrence], request.m_name.m_step,
              task, task_phase::placed);
    task.m_worker = &worker;
    task.m_run = run;
    task.m_available = false;
    task.m_started_at = now;
    worker_order order;
    order.m_kind = worker_order::kind::start;
    order.m_worker = worker.m_info.m_id;
    order.m_address = worker.m_info.m_address;
    order.m_task = request.m_name;
    order.m_run = run;
    order.m_spec = request.m_record->m_definition.m_spec;
    order.m_checkpoint = task.m_checkpoint;
    if (request.m_needs_ticket) {
        const std::string* ticket = find_ticket(state, request.m_name, worker.m_info.m_id, now);
        order.m_ticket = ticket != nullptr ? *ticket : std::string();
    }
    order.m_deadline_ms = worker_clock_ms(worker, now) + state.m_bounds.m_worker_lease.count();
    extend_lease(worker, order.m_deadline_ms);
    state.m_orders.push_back(std::move(order));
    ++state.m_starts;
}

run_number allocate_run_number(shard& state)
{
    return run_number(++state.m_next_run);
}

/// True when a task is ready, its retry delay has passed, and no worker of a former owner may still
/// run it.
bool is_startable(const shard& state, const submission_record& record, const scheduled_task& task,
                  time_point now)
{
    return task.m_phase == task_phase::ready && task.m_not_before <= now &&
           (!record.m_inherited || state.m_awaited_workers.empty());
}

/// True when all tasks of the preceding steps are done.
bool predecessors_done(const submission_step& step, const occurrence_state& occurrence)
{
    return std::all_of(step.m_after.begin(), step.m_after.end(), [&](std::uint32_t earlier) {
        return occurrence.m_unfinished_tasks[earlier] == 0;
    });
}

/// Chooses workers for all tasks of a gang, as positions among the candidates; empty if it does not
/// fit as a whole. An empty `rack` admits all racks.
std::vector<std::ptrdiff_t> choose_gang_workers(shard& state, const candidate_workers& candidates,
                                                submission_record& record, const task_name& first,
                                                const std::string& rack, time_point now)
{
    const std::vector<scheduled_task>& tasks =
        record.m_occurrences[first.m_occurrence].m_steps[first.m_step];
    // A gang that does not fit as a whole takes no resources.
    candidate_workers trial = candidates;
    std::vector<std::ptrdiff_t> chosen;
    task_name name = first;
    for (; name.m_index < tasks.size(); ++name.m_index) {
        const placement_request request =
            make_placement_request(state, record, name, tasks[name.m_index]);
        candidate_worker* candidate = choose_worker(state, trial, request, rack, now);
        if (candidate == nullptr) {
            return {};
        }
        candidate->m_free = candidate->m_free - request.m_demand;
        chosen.push_back(candidate - trial.m_workers.data());
    }
    return chosen;
}

/// Starts all tasks of a gang on the workers that were chosen for them.
void start_gang_on(shard& state, candidate_workers& candidates, submission_record& record,
                   const task_name& first, const std::vector<std::ptrdiff_t>& chosen,
                   double place_factor, time_point now)
{
    std::vector<scheduled_task>& tasks =
        record.m_occurrences[first.m_occurrence].m_steps[first.m_step];
    const run_number run = allocate_run_number(state);
    std::string checkpoint;
    for (const scheduled_task& task : tasks) {
        checkpoint = std::max(checkpoint, task.m_checkpoint);
    }
    task_name name = first;
    for (; name.m_index < tasks.size(); ++name.m_index) {
        scheduled_task& task = tasks[name.m_index];
        task.m_checkpoint = checkpoint;
        placement_request request = make_placement_request(state, record, name, task);
        request.m_place_factor = place_factor;
        start_run(state, request, task,
                  candidates.m_workers[static_cast<std::size_t>(chosen[name.m_index])], run, now);
    }
}

/// All racks of the pool's workers.
std::vector<std::string> find_racks(const shard& state)
{
    std::vector<std::string> racks;
    for (const auto& [id, worker] : state.m_workers) {
        const std::string& rack = worker->m_info.m_rack.str();
        if (std::find(racks.begin(), racks.end(), rack) == racks.end()) {
            racks.push_back(rack);
        }
    }
    return racks;
}

/// The racks in which a gang runs at full speed; a single empty one if it names no place.
std::vector<std::string> places_of_gang(const shard& state, const submission_step& step)
{
    if (!step.m_data_rack.empty()) {
        return {step.m_data_rack};
    }
    return step.m_same_rack ? find_racks(state) : std::vector<std::string>{""};
}

/// Starts all tasks of a gang together or none of them: at a place where they run at full speed, or
/// else anywhere, unless the wait for such a place pays.
void start_gang(shard& state, candidate_workers& candidates, submission_record& record,
                std::uint32_t occurrence, std::uint32_t step_index, time_point now)
{
    const std::vector<scheduled_task>& tasks = record.m_occurrences[occurrence].m_steps[step_index];
    const submission_step& step = record.m_definition.m_steps[step_index];
    if (!std::all_of(tasks.begin(), tasks.end(), [&](const scheduled_task& task) {
            return is_startable(state, record, task, now);
        })) {
        return;
    }
    resources total;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        total = total + step.m_demand;
    }
    if (!has_quota(state, record.m_organisation, total)) {
        note_blocked_by_quota(state, record.m_organisation, total, 1);
        return;
    }
    const task_name first{record.m_id, occurrence, step_index, 0};
    const bool names_place = step.m_same_rack || !step.m_data_rack.empty();
    const std::vector<std::string> places = places_of_gang(state, step);
    for (const std::string& place : places) {
        const auto chosen = choose_gang_workers(state, candidates, record, first, place, now);
        if (!chosen.empty()) {
            start_gang_on(state, candidates, record, first, chosen, 1, now);
            if (names_place) {
                note_place_start(state, first, true, now);
            }
            return;
        }
    }
    if (!names_place) {
        return;
    }
    std::vector<std::ptrdiff_t> chosen;
    if (step.m_same_rack && !step.m_data_rack.empty()) {
        // Away from its data it still runs in one rack if it can.
        for (const std::string& rack : find_racks(state)) {
            chosen = chosen.empty()
                         ? choose_gang_workers(state, candidates, record, first, rack, now)
                         : chosen;
        }
    }
    if (chosen.empty()) {
        chosen = choose_gang_workers(state, candidates, record, first, "", now);
    }
    const placement_request request = make_placement_request(state, record, first, tasks.front());
    if (chosen.empty() || gang_waits(state, candidates, request, places, now)) {
        return;
    }
    start_gang_on(state, candidates, record, first, chosen, state.m_bounds.m_remote_factor, now);
    note_place_start(state, first, false, now);
}

/// Logs, once per submission, that a task has found no worker for a while although most of the pool
/// is idle, with what tells the causes apart.
void note_waiting_task(shard& state, const candidate_workers& candidates,
                       const placement_request& request, time_point now)
{
    submission_record& record = *request.m_record;
    const time_point ready_since = std::max(request.m_task->m_not_before, record.m_arrived);
    if (record.m_wait_logged || now - ready_since < waiting_task_log_delay ||
        now - state.m_half_used_at < waiting_task_log_delay) {
        return;
    }
    record.m_wait_logged = true;
    std::int64_t most_free = 0;
    for (const candidate_worker& each : candidates.m_workers) {
        most_free = std::max(most_free, each.m_free.m_cpu_millis);
    }
    state.m_log_lines.push_back(
        "task has no worker although most cores are idle: task=" + to_string(request.m_name) +
        " cpu=" + std::to_string(request.m_demand.m_cpu_millis) +
        " workers=" + std::to_string(state.m_workers.size()) +
        " candidates=" + std::to_string(candidates.m_workers.size()) + " reserved=" +
        std::to_string(candidates.m_reserved.size()) + " most_free=" + std::to_string(most_free));
}

/// Starts ready tasks in the ranking of submissions. After the first task of a step that finds no
/// worker, the rest of the step is skipped.
void start_ready_tasks(shard& state, time_point now)
{
    candidate_workers candidates = find_candidate_workers(state, now);
    clear_blocked_by_quota(state);
    submission_record* put_back = nullptr;
    for (submission_record* record : state.m_ranked) {
        const bool is_starving = record->m_starving;
        for (std::uint32_t occurrence_index = 0; occurrence_index < record->m_occurrences.size();
             ++occurrence_index) {
            occurrence_state& occurrence = record->m_occurrences[occurrence_index];
            if (!occurrence.m_due || occurrence.m_done) {
                continue;
            }
            for (std::uint32_t step_index = 0; step_index < occurrence.m_steps.size();
                 ++step_index) {
                if (put_back == record || occurrence.m_ready_tasks[step_index] == 0 ||
                    !predecessors_done(record->m_definition.m_steps[step_index], occurrence)) {
                    continue;
                }
                if (record->m_definition.m_steps[step_index].m_gang) {
                    start_gang(state, candidates, *record, occurrence_index, step_index, now);
                    continue;
                }
                bool has_reserved = false;
                for (std::uint32_t i = 0; i < occurrence.m_steps[step_index].size(); ++i) {
                    scheduled_task& task = occurrence.m_steps[step_index][i];
                    ++state.m_tasks_examined;
                    if (!is_startable(state, *record, task, now)) {
                        continue;
                    }
                    const resources& demand = record->m_definition.m_steps[step_index].m_demand;
                    if (!has_quota(state, record->m_organisation, demand)) {
                        note_blocked_by_quota(state, record->m_organisation, demand,
                                              occurrence.m_ready_tasks[step_index]);
                        break;
                    }
                    placement_request request = make_placement_request(
                        state, *record, {record->m_id, occurrence_index, step_index, i}, task);
                    const placement_choice choice =
                        choose_placement(state, candidates, request, now);
                    candidate_worker* worker = choice.m_worker;
                    state.m_starts_on_reserved += choice.m_is_reserved ? 1 : 0;
                    if (worker != nullptr) {
                        start_run(state, request, task, *worker, allocate_run_number(state), now);
                        if (!request.m_step->m_data_rack.empty()) {
                            note_place_start(state, request.m_name, request.m_place_factor == 1,
                                             now);
                        }
                        if (is_starving) {
                            put_back = record;
                            break;
                        }
                        continue;
                    }
                    // A task that waits for its ticket reserves no worker.
                    if (!request.m_needs_ticket && !has_reserved) {
                        reserve_worker(state, candidates, request,
                                       choice.m_waits ? request.m_step->m_data_rack : "", now);
                        has_reserved = true;
                    }
                    note_waiting_task(state, candidates, request, now);
                    if (choice.m_waits) {
                        // The wait of the step's next task is longer and may not pay.
                        continue;
                    }
                    state.m_unplaced_by_start += request.m_step->m_long_running ? 1 : 0;
                    if (!request.m_step->m_data_rack.empty()) {
                        book_waiting_tasks(state, candidates, request, request.m_step->m_data_rack,
                                           occurrence.m_ready_tasks[step_index], now);
                    }
                    break;
                }
            }
        }
    }
    if (put_back != nullptr) {
        // The next ranking gives it its place; one start is all that it was put first for.
        const auto found = std::find(state.m_ranked.begin(), state.m_ranked.end(), put_back);
        std::rotate(found, std::next(found), state.m_ranked.end());
    }
    state.m_reserved_workers = static_cast<std::uint32_t>(candidates.m_reserved.size());
}

/// Time without progress after which a run is considered stalled.
milliseconds stall_limit(const run_slot& slot)
{
    if (slot.m_long_running) {
        return long_running_stall_timeout;
    }
    return std::max(stall_timeout, slot.m_stall_time);
}

/// Ends the runs of a worker whose lease has certainly expired, even on its slowest possible
/// clock, stops stalled runs, and queues stop orders that are due.
void check_worker(shard& state, const worker_id& id, worker_record& worker, time_point now)
{
    if (settle(worker.m_guard, worker.m_incarnation_start_ms, now)) {
        state.m_pending.m_entries.emplace_back(
            log_worker_incarnation{id, worker.m_incarnation_start_ms, true});
    }
    if (!worker.m_lease_ended && now > worker.m_lease_until) {
        state.m_log_lines.push_back("worker's lease ended: worker=" + id.str() +
                                    " runs=" + std::to_string(worker.m_runs.size()));
        end_incarnation(state, worker, now, true);
    }
    for (auto& [key, slot] : worker.m_runs) {
        const bool stalled = slot.m_phase == run_phase::running && slot.m_percent < 100 &&
                             now - slot.m_progress_at > stall_limit(slot) &&
                             now - worker.m_last_heard_at < max_report_age && slot.m_pace == 100;
        if (stalled) {
            state.m_log_lines.push_back("run stands still: task=" + to_string(slot.m_task) +
                                        " worker=" + id.str());
            stop_run(state, worker, slot, false);
            record_worker_failure(state, worker, now);
        }
        if (slot.m_phase == run_phase::stopping) {
            note_stopping_run(state, worker, slot, now);
        }
        if (slot.m_phase != run_phase::stopping || slot.m_order_pending ||
            slot.m_next_stop_at > now || !worker.m_answered || worker.m_lease_ended) {
            continue;
        }
        slot.m_order_pending = true;
        note_stop_sent(state, slot);
        worker_order order;
        order.m_kind = worker_order::kind::stop;
        order.m_worker = id;
        order.m_address = worker.m_info.m_address;
        order.m_task = slot.m_task;
        order.m_run = slot.m_run;
        state.m_orders.push_back(std::move(order));
    }
}

/// Checks the workers that may need a stop order, or all workers.
void check_workers(shard& state, bool all, time_point now)
{
    for (const auto& [id, worker] : state.m_workers) {
        if (all || worker->m_stop_due) {
            worker->m_stop_due = false;
            check_worker(state, id, *worker, now);
        }
    }
}

/// Erases submissions that closed more than twice the status retention ago and whose final state is
/// visible to callers.
void erase_expired_submissions(shard& state, time_point now, wall_time wall)
{
    if (now < state.m_next_purge) {
        return;
    }
    state.m_next_purge = now + purge_interval;
    const std::int64_t cutoff_ms = unix_ms(wall) - 2 * state.m_bounds.m_status_retention.count();
    for (auto it = state.m_submissions.begin(); it != state.m_submissions.end();) {
        const submission_record& record = *it->second;
        const bool published = record.m_visible == record.m_final && record.m_final_decided;
        if (published && record.m_closed_ms < cutoff_ms) {
            state.m_pending.m_entries.emplace_back(log_purged{record.m_id});
            it = state.m_submissions.erase(it);
        }
        else {
            ++it;
        }
    }
    std::erase_if(state.m_cancelled_early, [&](const auto& entry) {
        const std::int64_t stored_ms = entry.second.m_stored_ms;
        const bool expired = stored_ms != 0 && stored_ms < cutoff_ms;
        if (expired) {
            state.m_pending.m_entries.emplace_back(log_purged{entry.first});
        }
        return expired;
    });
}

} // namespace

bool accepts_starts(const worker_record& worker, time_point now)
{
    return worker.m_answered && worker.m_use_stored && worker.m_guard.m_complete &&
           !worker.m_lease_ended && !worker.m_gone && !worker.m_no_connection &&
           !worker.m_cordoned && !worker.m_info.m_draining && worker.m_quarantined_until <= now &&
           (worker.m_listed || now - worker.m_unlisted_since < unlisted_start_grace) &&
           now - worker.m_last_heard_at < max_report_age;
}

void apply_instructions(shard& state, const pool_instructions& what, time_point now)
{
    state.m_evacuate = what.m_urgent;
    state.m_incoming_machines = what.m_incoming_machines;
    state.m_incoming_updated_at = now;
    const std::set<machine_id> cordoned(what.m_cordoned.begin(), what.m_cordoned.end());
    const std::set<machine_id> upkeep_due(what.m_upkeep_due.begin(), what.m_upkeep_due.end());
    for (const auto& [id, worker] : state.m_workers) {
        const bool should_cordon = cordoned.contains(worker->m_info.m_machine);
        if (should_cordon && !worker->m_cordoned) {
            worker->m_cordoned_since = now;
        }
        worker->m_cordoned = should_cordon;
        worker->m_upkeep_due = upkeep_due.contains(worker->m_info.m_machine);
    }
}

bool is_clear(const shard& state, const machine_id& machine)
{
    // A machine that left and came back has a listed worker and records of former ones, whose runs
    // ended with them.
    const bool any_listed =
        std::any_of(state.m_workers.begin(), state.m_workers.end(), [&](const auto& entry) {
            return entry.second->m_info.m_machine == machine && entry.second->m_listed;
        });
    bool known = false;
    for (const auto& [id, worker] : state.m_workers) {
        if (worker->m_info.m_machine != machine || (any_listed && !worker->m_listed)) {
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
    if (!state.m_awaited_workers.empty() && now >= state.m_awaited_until) {
        state.m_log_lines.push_back("leases of workers of former owners have ended: workers=" +
                                    std::to_string(state.m_awaited_workers.size()));
        state.m_awaited_workers.clear();
    }
    const bool review = now - state.m_workers_reviewed_at >= worker_review_interval;
    if (review) {
        state.m_workers_reviewed_at = now;
        state.m_unplaced_by_evacuation = 0;
        if (state.m_may_start) {
            evacuate(state, now);
        }
    }
    check_workers(state, review, now);
    rank_submissions(state, now, wall);
    state.m_unplaced_by_start = 0;
    if (state.m_may_start && state.m_takeover_stored) {
        start_ready_tasks(state, now);
    }
    if (review) {
        adjust_paces(state, now);
    }
    erase_expired_submissions(state, now, wall);
    forget_ended_waits(state, now);
}

} // namespace guavabay
