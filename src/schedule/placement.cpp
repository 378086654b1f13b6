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

/// How much longer than callers may ask for it a final state is kept when memory is short.
constexpr milliseconds low_memory_retention_margin{10000};

/// Interval of searches for submissions that are to be erased.
constexpr milliseconds purge_interval{1000};

/// Steps of all submissions, and of one of them, that may find no worker in a planning pass. A
/// submission goes on in the next pass with the step at which it stopped.
constexpr std::size_t max_failed_steps = 4096;
constexpr std::size_t max_failed_steps_of_submission = 32;

/// Tasks of a step that may wait for their place in a planning pass.
constexpr std::size_t max_waits_of_step = 64;

/// Reserves the resources of a run on a worker and queues its start order.
void start_run(shard& state, candidate_workers& candidates, const placement_request& request,
               candidate_worker& candidate, run_number run, time_point now)
{
    worker_record& worker = *candidate.m_worker;
    step_tasks& tasks = request.m_record->m_occurrences.at(request.m_name.m_occurrence)
                            .m_steps[request.m_name.m_step];
    scheduled_task& task = edit_task(tasks, request.m_name.m_index);
    candidates.m_starts_left -= candidates.m_starts_left > 0 ? 1 : 0;
    candidates.m_runs_left -= candidates.m_runs_left > 0 ? 1 : 0;
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
    set_phase(tasks, task, task_phase::placed);
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

/// Chooses workers for all tasks of a gang, as positions among the candidates; empty if it does not
/// fit as a whole. An empty `rack` admits all racks.
std::vector<std::ptrdiff_t> choose_gang_workers(shard& state, const candidate_workers& candidates,
                                                submission_record& record, const task_name& first,
                                                const std::string& rack, time_point now)
{
    const step_tasks& tasks = record.m_occurrences.at(first.m_occurrence).m_steps[first.m_step];
    // A gang that does not fit as a whole takes no resources.
    candidate_workers trial = candidates;
    std::vector<std::ptrdiff_t> chosen;
    task_name name = first;
    for (; name.m_index < tasks.m_count; ++name.m_index) {
        const placement_request request =
            make_placement_request(state, record, name, view_task(tasks, name.m_index));
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
    step_tasks& tasks = record.m_occurrences.at(first.m_occurrence).m_steps[first.m_step];
    const run_number run = allocate_run_number(state);
    std::string checkpoint;
    for (const auto& [index, task] : tasks.m_started) {
        checkpoint = std::max(checkpoint, task.m_checkpoint);
    }
    task_name name = first;
    for (; name.m_index < tasks.m_count; ++name.m_index) {
        scheduled_task& task = edit_task(tasks, name.m_index);
        task.m_checkpoint = checkpoint;
        placement_request request = make_placement_request(state, record, name, task);
        request.m_place_factor = place_factor;
        start_run(state, candidates, request,
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

/// True if all tasks of a step may start now.
bool are_startable(const step_tasks& tasks, time_point now)
{
    return tasks.m_ready == tasks.m_count &&
           std::all_of(tasks.m_started.begin(), tasks.m_started.end(),
                       [now](const auto& entry) { return entry.second.m_not_before <= now; });
}

/// True unless the demand of a gang exceeds the free capacity of all candidates together, which is
/// far quicker to tell than where its members fit.
bool may_fit(const candidate_workers& candidates, const resources& demand)
{
    resources free;
    for (const candidate_worker& candidate : candidates.m_workers) {
        free = free + component_max(candidate.m_free, resources{});
    }
    return fits(demand, free);
}

/// Starts all tasks of a gang together or none of them: at a place where they run at full speed, or
/// else anywhere, unless the wait for such a place pays. Returns whether they were started.
bool start_gang(shard& state, candidate_workers& candidates, submission_record& record,
                std::uint32_t occurrence, std::uint32_t step_index, time_point now)
{
    const step_tasks& tasks = record.m_occurrences.at(occurrence).m_steps[step_index];
    const submission_step& step = record.m_definition.m_steps[step_index];
    // A gang that is larger than what may run at one time runs alone.
    if (!are_startable(tasks, now) ||
        (tasks.m_count > candidates.m_runs_left && candidates.m_has_runs)) {
        return false;
    }
    const resources total = multiply(step.m_demand, tasks.m_count);
    if (!has_quota(state, record.m_organisation, total)) {
        note_blocked_by_quota(state, record.m_organisation, total, 1);
        return false;
    }
    const task_name first{record.m_id, occurrence, step_index, 0};
    const placement_request request =
        make_placement_request(state, record, first, view_task(tasks, 0));
    if (!may_fit(candidates, multiply(request.m_demand, tasks.m_count))) {
        return false;
    }
    const bool names_place = step.m_same_rack || !step.m_data_rack.empty();
    const std::vector<std::string> places = places_of_gang(state, step);
    for (const std::string& place : places) {
        const auto chosen = choose_gang_workers(state, candidates, record, first, place, now);
        if (!chosen.empty()) {
            start_gang_on(state, candidates, record, first, chosen, 1, now);
            if (names_place) {
                note_place_start(state, first, true, now);
            }
            return true;
        }
    }
    if (!names_place) {
        return false;
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
    if (chosen.empty() || gang_waits(state, candidates, request, places, now)) {
        return false;
    }
    start_gang_on(state, candidates, record, first, chosen, state.m_bounds.m_remote_factor, now);
    note_place_start(state, first, false, now);
    return true;
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

/// A step of an occurrence with tasks that may start.
struct startable_step {
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    step_tasks* m_tasks = nullptr;
};

/// Finds the steps of a submission with tasks that may start: in their order, but beginning with
/// the one at which the last pass stopped.
void find_startable_steps(submission_record& record, std::vector<startable_step>& steps)
{
    steps.clear();
    for (auto& [number, occurrence] : record.m_occurrences) {
        for (std::uint32_t i = 0; occurrence.m_due && i < occurrence.m_steps.size(); ++i) {
            step_tasks& tasks = occurrence.m_steps[i];
            if (tasks.m_ready > 0 && tasks.m_unblocked) {
                steps.push_back({number, i, &tasks});
            }
        }
    }
    const auto first = std::find_if(steps.begin(), steps.end(), [&](const startable_step& step) {
        return std::pair(step.m_occurrence, step.m_step) >= record.m_resume_at;
    });
    std::rotate(steps.begin(), first, steps.end());
    record.m_resume_at = {};
}

/// How the start of a step's tasks ended.
enum class step_result : std::uint8_t {
    started, ///< All that may start have started.
    failed,  ///< A task found no worker, so that the rest was skipped.
    put_back ///< A task of a starving submission has started, which is all that it gets.
};

/// Starts ready tasks of a step that start each on its own. After the first one that finds no
/// worker, the rest is skipped.
step_result start_step(shard& state, candidate_workers& candidates, submission_record& record,
                       const startable_step& step, time_point now)
{
    const bool is_starving = record.m_starving;
    const resources& demand = record.m_definition.m_steps[step.m_step].m_demand;
    step_tasks& tasks = *step.m_tasks;
    bool has_reserved = false;
    std::size_t waits = 0;
    for (auto index = next_ready_task(tasks, 0);
         index && candidates.m_starts_left > 0 && candidates.m_runs_left > 0;
         index = next_ready_task(tasks, *index + 1)) {
        const scheduled_task& task = view_task(tasks, *index);
        ++state.m_tasks_examined;
        if (task.m_not_before > now) {
            continue;
        }
        if (!has_quota(state, record.m_organisation, demand)) {
            note_blocked_by_quota(state, record.m_organisation, demand, tasks.m_ready);
            return step_result::started;
        }
        placement_request request = make_placement_request(
            state, record, {record.m_id, step.m_occurrence, step.m_step, *index}, task);
        const placement_choice choice = choose_placement(state, candidates, request, now);
        state.m_starts_on_reserved += choice.m_is_reserved ? 1 : 0;
        if (choice.m_worker != nullptr) {
            start_run(state, candidates, request, *choice.m_worker, allocate_run_number(state),
                      now);
            if (!request.m_step->m_data_rack.empty()) {
                note_place_start(state, request.m_name, request.m_place_factor == 1, now);
            }
            if (is_starving) {
                return step_result::put_back;
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
        if (choice.m_waits && ++waits < max_waits_of_step) {
            // The wait of the step's next task is longer and may not pay.
            continue;
        }
        state.m_unplaced_by_start += request.m_step->m_long_running ? 1 : 0;
        if (!request.m_step->m_data_rack.empty()) {
            book_waiting_tasks(state, candidates, request, request.m_step->m_data_rack,
                               tasks.m_ready, now);
        }
        return step_result::failed;
    }
    return waits > 0 ? step_result::failed : step_result::started;
}

/// Starts ready tasks of a submission. Returns whether it is to be put back in the ranking.
bool start_tasks_of(shard& state, candidate_workers& candidates, submission_record& record,
                    std::size_t max_failures, std::vector<startable_step>& steps, time_point now)
{
    find_startable_steps(record, steps);
    std::size_t failures = 0;
    for (const startable_step& step : steps) {
        if (failures == max_failures) {
            record.m_resume_at = {step.m_occurrence, step.m_step};
            return false;
        }
        if (record.m_definition.m_steps[step.m_step].m_gang) {
            failures +=
                start_gang(state, candidates, record, step.m_occurrence, step.m_step, now) ? 0 : 1;
            continue;
        }
        const step_result result = start_step(state, candidates, record, step, now);
        if (result == step_result::put_back) {
            return true;
        }
        failures += result == step_result::failed ? 1 : 0;
    }
    return false;
}

/// Starts ready tasks in the ranking of submissions.
void start_ready_tasks(shard& state, time_point now)
{
    candidate_workers candidates = find_candidate_workers(state, now);
    clear_blocked_by_quota(state);
    const std::size_t max_failures =
        std::clamp<std::size_t>(max_failed_steps / std::max<std::size_t>(1, state.m_ranked.size()),
                                1, max_failed_steps_of_submission);
    std::vector<startable_step> steps;
    submission_record* put_back = nullptr;
    for (submission_record* record : state.m_ranked) {
        // Workers of a former owner may still run tasks of an inherited submission.
        if (record->m_inherited && !state.m_awaited_workers.empty()) {
            continue;
        }
        if (start_tasks_of(state, candidates, *record, max_failures, steps, now)) {
            put_back = record;
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
    // Clocks of other hosts may differ, so that a state is kept for longer than it has to be.
    const std::int64_t retention_ms = state.m_bounds.m_status_retention.count();
    const bool is_memory_low = state.m_budget && is_low(*state.m_budget);
    const std::int64_t cutoff_ms =
        unix_ms(wall) -
        (is_memory_low ? retention_ms + low_memory_retention_margin.count() : 2 * retention_ms);
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

bool is_entry_current(const worker_record& worker)
{
    const std::int64_t listed = worker.m_info.m_incarnation_start_ms;
    return listed == 0 || worker.m_incarnation_start_ms == 0 ||
           listed == worker.m_incarnation_start_ms;
}

bool is_draining(const worker_record& worker)
{
    return worker.m_info.m_draining && is_entry_current(worker);
}

bool accepts_starts(const worker_record& worker, time_point now)
{
    return worker.m_answered && worker.m_use_stored && worker.m_guard.m_complete &&
           !worker.m_lease_ended && !worker.m_gone && !worker.m_no_connection &&
           is_entry_current(worker) && !worker.m_cordoned && !worker.m_info.m_draining &&
           worker.m_quarantined_until <= now &&
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
