#include <algorithm>
#include <limits>

#include "schedule/advice.h"
#include "schedule/shard_steps.h"

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

/// Work on a machine that is needed soon may go on for this long.
constexpr milliseconds evacuation_patience{800};

/// A lasting task that cannot leave a cordoned worker for this long is worth a note.
constexpr milliseconds stay_worth_a_note{4000};

/// Workers that are kept for tasks that found no room, per plan.
constexpr std::size_t max_kept_workers = 3;

/// Weights of the choice between workers, in units of one run time.
constexpr double weight_leftover = 0.15;
constexpr double weight_failed_here = 3;
constexpr double weight_same_rack = 0.5;
constexpr double weight_same_worker = 0.1;
constexpr double weight_disturbed = 2;

/// Slowness up to this factor is noise.
constexpr double tolerated_slowness = 1.6;

/// Workers that take starts, looked up once for all choices of a plan. Within a plan room only
/// shrinks, so that a demand that found none need not be tried again.
struct open_room {
    std::vector<held_worker*> m_workers;
    std::vector<resources> m_too_large; ///< Demands for which no worker has room.
};

/// What a choice of a worker needs to know of a task.
struct wanted_task {
    submission_record* m_record = nullptr;
    const submission_step* m_step = nullptr;
    task_name m_name;
    const scheduled_task* m_task = nullptr;
    resources m_demand; ///< What is reserved.
    milliseconds m_expected{0};
    bool m_avoids_upkeep = false; ///< Not on workers that are to be kept free later.
    bool m_needs_ticket = false;  ///< Only on workers that the advice service allows.
};

bool has_label(const worker_listing& info, const std::string& label)
{
    return std::find(info.m_labels.begin(), info.m_labels.end(), label) != info.m_labels.end();
}

std::uint32_t same_step_runs(const held_worker& worker, const task_name& name)
{
    std::uint32_t count = 0;
    const task_name first{name.m_submission, name.m_occurrence, name.m_step, 0};
    for (auto it = worker.m_runs.lower_bound({first, run_number()}); it != worker.m_runs.end();
         ++it) {
        const task_name& other = it->first.first;
        if (other.m_submission != name.m_submission || other.m_occurrence != name.m_occurrence ||
            other.m_step != name.m_step) {
            break;
        }
        ++count;
    }
    return count;
}

bool rack_has_workers(const shard& state, const std::string& rack, time_point now)
{
    return std::any_of(state.m_workers.begin(), state.m_workers.end(), [&](const auto& entry) {
        return entry.second->m_info.m_rack.str() == rack && takes_starts(*entry.second, now);
    });
}

std::uint32_t same_step_in_rack(const shard& state, const held_worker& worker,
                                const task_name& name)
{
    std::uint32_t count = 0;
    for (const auto& [id, other] : state.m_workers) {
        if (other->m_info.m_rack == worker.m_info.m_rack) {
            count += same_step_runs(*other, name);
        }
    }
    return count;
}

/// Serving tasks disturb and are disturbed by filling ones.
bool is_disturbed(const held_worker& worker, const submission_step& step)
{
    return std::any_of(worker.m_runs.begin(), worker.m_runs.end(), [&](const auto& entry) {
        return step.m_fills ? entry.second.m_tail_target_ms > 0
                            : step.m_tail_target_ms > 0 && entry.second.m_fills;
    });
}

/// True when it is known what everything on a worker takes.
bool room_is_known(const held_worker& worker)
{
    return std::none_of(worker.m_runs.begin(), worker.m_runs.end(),
                        [](const auto& entry) { return entry.second.m_unknown_size; });
}

open_room find_open_room(shard& state, time_point now)
{
    open_room room;
    for (const auto& [id, worker] : state.m_workers) {
        if (takes_starts(*worker, now) && room_is_known(*worker)) {
            room.m_workers.push_back(worker.get());
        }
    }
    return room;
}

/// True when a demand no larger than this one found no room before.
bool is_too_large(const open_room& room, const resources& demand)
{
    return std::any_of(room.m_too_large.begin(), room.m_too_large.end(),
                       [&](const resources& smaller) { return fits(smaller, demand); });
}

bool may_run_on(const held_worker& worker, const wanted_task& wanted)
{
    const submission_step& step = *wanted.m_step;
    return !(wanted.m_avoids_upkeep && worker.m_upkeep_due) &&
           (step.m_required_label.empty() || has_label(worker.m_info, step.m_required_label)) &&
           (step.m_max_per_worker == 0 ||
            same_step_runs(worker, wanted.m_name) < step.m_max_per_worker);
}

bool has_ticket(const shard& state, const held_worker& worker, const wanted_task& wanted,
                time_point now)
{
    return !wanted.m_needs_ticket ||
           find_ticket(state, wanted.m_name, worker.m_info.m_id, now) != nullptr;
}

/// Cost of a worker for a task, lower is better, in run times.
double cost_of(const shard& state, const held_worker& worker, const wanted_task& wanted)
{
    const submission_step& step = *wanted.m_step;
    const bool remote = !step.m_data_rack.empty() && worker.m_info.m_rack.str() != step.m_data_rack;
    double cost = worker.m_slowness > tolerated_slowness ? worker.m_slowness : 1;
    cost *= remote ? state.m_bounds.m_remote_factor : 1;
    if (wanted.m_task->m_failed_on == worker.m_info.m_id) {
        cost += weight_failed_here;
    }
    const auto capacity =
        static_cast<double>(std::max<std::int64_t>(1, worker.m_info.m_capacity.m_cpu_millis));
    const auto used = static_cast<double>(worker.m_reserved.m_cpu_millis);
    if (step.m_lasting) {
        cost += weight_same_rack * same_step_in_rack(state, worker, wanted.m_name);
        cost += weight_same_worker * same_step_runs(worker, wanted.m_name);
        cost += is_disturbed(worker, step) ? weight_disturbed : 0;
    }
    // The fuller worker is taken, so that whole machines stay free for large tasks and other pools.
    cost += weight_leftover * (1 - used / capacity);
    return cost;
}

held_worker* choose_worker(shard& state, open_room& room, const wanted_task& wanted,
                           const std::string& only_rack, time_point now)
{
    if (is_too_large(room, wanted.m_demand)) {
        return nullptr;
    }
    held_worker* best = nullptr;
    double best_cost = 0;
    bool any_room = false;
    const submission_step& step = *wanted.m_step;
    const bool wait_for_data = !step.m_data_rack.empty() &&
                               rack_has_workers(state, step.m_data_rack, now) &&
                               now - wanted.m_record->m_arrived <
                                   std::chrono::duration_cast<duration>(
                                       wanted.m_expected * (state.m_bounds.m_remote_factor - 1));
    state.m_candidates += room.m_workers.size();
    for (held_worker* candidate : room.m_workers) {
        held_worker& worker = *candidate;
        if (!fits(wanted.m_demand, worker.m_info.m_capacity - worker.m_reserved)) {
            continue;
        }
        any_room = true;
        if (!may_run_on(worker, wanted) || !has_ticket(state, worker, wanted, now)) {
            continue;
        }
        if ((wait_for_data && worker.m_info.m_rack.str() != step.m_data_rack) ||
            (!only_rack.empty() && worker.m_info.m_rack.str() != only_rack)) {
            continue;
        }
        const double cost = cost_of(state, worker, wanted);
        if (best == nullptr || cost < best_cost) {
            best = &worker;
            best_cost = cost;
        }
    }
    if (!any_room) {
        room.m_too_large.push_back(wanted.m_demand);
    }
    return best;
}

/// Keeps the worker with most free cores that could hold a task which found no room from smaller
/// tasks that follow.
bool keep_worker(open_room& room, const wanted_task& wanted)
{
    const auto free = [](const held_worker* one) {
        return (one->m_info.m_capacity - one->m_reserved).m_cpu_millis;
    };
    auto best = room.m_workers.end();
    for (auto it = room.m_workers.begin(); it != room.m_workers.end(); ++it) {
        if (fits(wanted.m_demand, (*it)->m_info.m_capacity) && may_run_on(**it, wanted) &&
            (best == room.m_workers.end() || free(*it) > free(*best))) {
            best = it;
        }
    }
    if (best == room.m_workers.end()) {
        return false;
    }
    room.m_workers.erase(best);
    return true;
}

wanted_task describe(const shard& state, submission_record& record, const task_name& name,
                     const scheduled_task& task)
{
    const submission_step& step = record.m_what.m_steps[name.m_step];
    wanted_task wanted{&record, &step,         name,
                       &task,   step.m_demand, expected_time(state, record, step)};
    if (step.m_fills) {
        wanted.m_demand.m_cpu_millis = 0;
    }
    wanted.m_needs_ticket = contract_of(state, record).m_needs_advice;
    return wanted;
}

void start_run(shard& state, const wanted_task& wanted, scheduled_task& task, held_worker& worker,
               run_number run, time_point now)
{
    run_slot slot;
    slot.m_task = wanted.m_name;
    slot.m_run = run;
    slot.m_reserved = wanted.m_demand;
    slot.m_lasting = wanted.m_step->m_lasting;
    slot.m_order_pending = true;
    slot.m_ordered_at = now;
    slot.m_progress_at = now;
    slot.m_estimate = wanted.m_expected;
    slot.m_image = wanted.m_step->m_image;
    slot.m_tail_target_ms = wanted.m_step->m_tail_target_ms;
    slot.m_fills = wanted.m_step->m_fills;
    slot.m_declared_cpu = wanted.m_step->m_demand.m_cpu_millis;
    worker.m_reserved = worker.m_reserved + slot.m_reserved;
    worker.m_runs.emplace(std::pair(wanted.m_name, run), slot);
    task.m_phase = task_phase::placed;
    task.m_worker = &worker;
    task.m_run = run;
    task.m_at_work = false;
    wanted.m_record->m_started = true;
    worker_order order;
    order.m_kind = worker_order::kind::start;
    order.m_worker = worker.m_info.m_id;
    order.m_address = worker.m_info.m_address;
    order.m_task = wanted.m_name;
    order.m_run = run;
    order.m_spec = wanted.m_record->m_what.m_spec;
    order.m_checkpoint = task.m_checkpoint;
    if (wanted.m_needs_ticket) {
        const std::string* ticket = find_ticket(state, wanted.m_name, worker.m_info.m_id, now);
        order.m_ticket = ticket != nullptr ? *ticket : std::string();
    }
    order.m_deadline_ms = worker_clock(worker, now) + state.m_bounds.m_worker_lease.count();
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
    const bool awaited = !state.m_awaited.empty() && now < state.m_awaited_until;
    return task.m_phase == task_phase::ready && task.m_not_before <= now &&
           !(task.m_inherited && awaited);
}

bool earlier_steps_done(const submission_step& step, const occurrence_state& occurrence)
{
    return std::all_of(step.m_after.begin(), step.m_after.end(),
                       [&](std::uint32_t earlier) { return occurrence.m_open[earlier] == 0; });
}

/// Starts all members of a gang at once, or none.
void start_gang(shard& state, const open_room& room, submission_record& record,
                std::uint32_t occurrence, std::uint32_t step_index, time_point now)
{
    std::vector<scheduled_task>& tasks = record.m_occurrences[occurrence].m_steps[step_index];
    const submission_step& step = record.m_what.m_steps[step_index];
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
        std::vector<held_worker*> chosen;
        std::vector<resources> reserved;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
            const wanted_task wanted =
                describe(state, record, {record.m_id, occurrence, step_index, i}, tasks[i]);
            held_worker* worker = choose_worker(state, trial, wanted, rack, now);
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
                if (occurrence.m_open[s] == 0 ||
                    !earlier_steps_done(record->m_what.m_steps[s], occurrence)) {
                    continue;
                }
                if (record->m_what.m_steps[s].m_gang) {
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
                    held_worker* worker = choose_worker(state, room, wanted, "", now);
                    if (worker == nullptr && wanted.m_avoids_upkeep) {
                        wanted.m_avoids_upkeep = false;
                        worker = choose_worker(state, room, wanted, "", now);
                    }
                    if (worker != nullptr) {
                        start_run(state, wanted, task, *worker, next_run(state), now);
                        continue;
                    }
                    state.m_without_room += wanted.m_step->m_lasting ? 1 : 0;
                    if (kept < max_kept_workers && keep_worker(room, wanted)) {
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
        held_worker& worker = *owned;
        if (worker.m_answered && !worker.m_lapsed && now > worker.m_lease_until) {
            state.m_notes.push_back("worker's lease ended: worker=" + id.str() +
                                    " runs=" + std::to_string(worker.m_runs.size()));
            end_life(state, worker, now, true);
        }
        for (auto& [key, slot] : worker.m_runs) {
            const bool stalled =
                slot.m_phase == run_phase::running && slot.m_percent < 100 &&
                now - slot.m_progress_at > (slot.m_lasting ? lasting_stall_time : stall_time) &&
                now - worker.m_heard_at < freshness && slot.m_pace == 100;
            if (stalled) {
                state.m_notes.push_back("run stands still: task=" + to_string(slot.m_task) +
                                        " worker=" + id.str());
                stop_run(state, worker, slot, false);
                blame_worker(state, worker, now);
            }
            if (slot.m_phase != run_phase::stopping || slot.m_order_pending ||
                slot.m_next_stop > now || !worker.m_answered || worker.m_lapsed) {
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

/// Others of a lasting task's step that are not at work.
std::int32_t others_away(const submission_record& record, const task_name& name)
{
    const std::vector<scheduled_task>& tasks =
        record.m_occurrences[name.m_occurrence].m_steps[name.m_step];
    std::int32_t away = 0;
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        away += i != name.m_index && !tasks[i].m_at_work ? 1 : 0;
    }
    return away;
}

/// True when a lasting task may be stopped to run elsewhere: its step can bear it, and there is
/// room for it.
bool may_move(shard& state, open_room& room, const held_worker& worker, const run_slot& slot,
              time_point now)
{
    const found_task found = find_task(state, slot.m_task);
    if (found.m_task == nullptr || found.m_task->m_worker != &worker) {
        return false;
    }
    const submission_step& step = found.m_record->m_what.m_steps[slot.m_task.m_step];
    // A task that was not at work at the last answer may have come to work since.
    const bool needed_now = worker.m_cordoned || worker.m_info.m_draining;
    const std::int32_t bearable = step.m_max_unavailable >= 0 ? step.m_max_unavailable
                                  : needed_now ? std::numeric_limits<std::int32_t>::max()
                                               : 1;
    if (!worker.m_info.m_draining && others_away(*found.m_record, slot.m_task) >= bearable) {
        return false;
    }
    wanted_task wanted = describe(state, *found.m_record, slot.m_task, *found.m_task);
    wanted.m_avoids_upkeep = !needed_now;
    const bool has_room = choose_worker(state, room, wanted, "", now) != nullptr;
    state.m_without_room += has_room ? 0 : 1;
    return has_room;
}

void note_stay(shard& state, open_room& room, const held_worker& worker, const run_slot& slot,
               time_point now)
{
    const found_task found = find_task(state, slot.m_task);
    std::string text = "lasting task stays: task=" + to_string(slot.m_task) +
                       " worker=" + worker.m_info.m_id.str();
    if (found.m_task != nullptr && found.m_task->m_worker == &worker) {
        const submission_step& step = found.m_record->m_what.m_steps[slot.m_task.m_step];
        const wanted_task wanted = describe(state, *found.m_record, slot.m_task, *found.m_task);
        const bool fits = choose_worker(state, room, wanted, "", now) != nullptr;
        text += " others_away=" + std::to_string(others_away(*found.m_record, slot.m_task)) +
                " may_be_away=" + std::to_string(step.m_max_unavailable) +
                " at_work=" + (found.m_task->m_at_work ? "yes" : "no") +
                " room=" + (fits ? "yes" : "no");
    }
    state.m_notes.push_back(std::move(text));
}

/// Moves lasting tasks off workers that leave or are to be kept free now or later, and other tasks
/// too when the machine is needed soon.
void evacuate(shard& state, time_point now)
{
    std::optional<open_room> room;
    for (const auto& [id, owned] : state.m_workers) {
        held_worker& worker = *owned;
        if ((!worker.m_cordoned && !worker.m_info.m_draining && !worker.m_upkeep_due) ||
            !worker.m_answered || worker.m_lapsed) {
            continue;
        }
        for (auto& [key, slot] : worker.m_runs) {
            if (slot.m_phase != run_phase::running || slot.m_detached) {
                continue;
            }
            if (slot.m_lasting) {
                if (!room) {
                    room = find_open_room(state, now);
                }
                if (may_move(state, *room, worker, slot, now)) {
                    stop_run(state, worker, slot, false);
                }
                else if (worker.m_cordoned && !slot.m_stay_told &&
                         now - worker.m_cordoned_since > stay_worth_a_note) {
                    slot.m_stay_told = true;
                    note_stay(state, *room, worker, slot, now);
                }
            }
            else if (worker.m_cordoned && state.m_evacuate &&
                     now - worker.m_cordoned_since > evacuation_patience) {
                stop_run(state, worker, slot, false);
            }
        }
    }
}

/// Lets go of final states that are no longer asked for.
void forget_old(shard& state, wall_time wall)
{
    const std::int64_t oldest = unix_ms(wall) - 2 * state.m_bounds.m_status_time.count();
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

bool takes_starts(const held_worker& worker, time_point now)
{
    return worker.m_answered && worker.m_use_stored && !worker.m_lapsed && !worker.m_gone &&
           !worker.m_cordoned && !worker.m_info.m_draining && worker.m_shunned_until <= now &&
           (worker.m_listed || now - worker.m_unlisted_since < unlisted_starts) &&
           now - worker.m_heard_at < freshness;
}

void take_instructions(shard& state, const pool_instructions& what, time_point now)
{
    state.m_evacuate = what.m_urgent;
    state.m_coming = what.m_coming;
    state.m_coming_at = now;
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
    state.m_without_room = 0;
    if (state.m_may_start) {
        evacuate(state, now);
    }
    review_workers(state, now);
    rank_submissions(state, now, wall);
    if (state.m_may_start && state.m_taken_stored) {
        start_ready(state, now, wall);
    }
    adjust_paces(state, now);
    forget_old(state, wall);
}

} // namespace guavabay
