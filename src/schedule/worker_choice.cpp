#include "schedule/worker_choice.h"

#include <algorithm>

#include "schedule/advice.h"
#include "schedule/place_waits.h"

namespace guavabay {

namespace {

/// Weights of the placement cost, in multiples of the task's run time.
constexpr double weight_free_cores = 0.15;
constexpr double weight_previous_failure = 3;
constexpr double weight_same_rack = 0.5;
constexpr double weight_same_worker = 0.1;
constexpr double weight_interference = 2;

/// Slowness up to this factor is within the normal spread of run times and is ignored.
constexpr double tolerated_slowness = 1.6;

/// Limit of reserved workers per planning pass. Half of the candidates stay free of reservations,
/// unless there is only one.
constexpr std::size_t max_reserved_workers = 3;

/// The longest time for which a reservation may keep a task waiting while there is room for it. The
/// platform counts work that stands still for three seconds as lost.
constexpr milliseconds max_reservation_wait{2000};

/// A run that has exceeded its estimate is expected to end no sooner than after this time.
constexpr milliseconds min_remaining_time{200};

bool has_label(const worker_listing& info, const std::string& label)
{
    return std::find(info.m_labels.begin(), info.m_labels.end(), label) != info.m_labels.end();
}

/// Counts the runs on a worker that belong to the same step and occurrence as a task.
std::uint32_t count_step_runs(const worker_record& worker, const task_name& name)
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

/// Counts the tasks of a request's step and occurrence that are placed in a worker's rack.
std::uint32_t count_step_tasks_in_rack(const placement_request& request,
                                       const worker_record& worker)
{
    const auto& occurrence = request.m_record->m_occurrences.at(request.m_name.m_occurrence);
    const auto& tasks = occurrence.m_steps[request.m_name.m_step].m_started;
    return static_cast<std::uint32_t>(
        std::count_if(tasks.begin(), tasks.end(), [&](const auto& entry) {
            const worker_record* other = entry.second.m_worker;
            return other != nullptr && other->m_info.m_rack == worker.m_info.m_rack;
        }));
}

/// True when the worker would run tasks with a latency target beside tasks that use idle cores; the
/// two kinds slow each other down.
bool has_interference(const worker_record& worker, const submission_step& step)
{
    return std::any_of(worker.m_runs.begin(), worker.m_runs.end(), [&](const auto& entry) {
        return step.m_uses_idle_cores
                   ? entry.second.m_tail_latency_target_ms > 0
                   : step.m_tail_latency_target_ms > 0 && entry.second.m_uses_idle_cores;
    });
}

/// Demands that are remembered as fitting on no worker.
constexpr std::size_t max_unplaceable_demands = 64;

/// True when a demand that is no larger has already fitted on no worker in this pass.
bool is_unplaceable(const candidate_workers& candidates, const resources& demand)
{
    return std::any_of(candidates.m_unplaceable.begin(), candidates.m_unplaceable.end(),
                       [&](const resources& unplaceable) { return fits(unplaceable, demand); });
}

/// Expected time until a run ends; empty for a long-running one that is not being stopped. The
/// longer a run has exceeded its estimate, the later it is expected to end.
std::optional<duration> remaining_time(const shard& state, const run_slot& slot, time_point now)
{
    if (slot.m_phase == run_phase::stopping) {
        return state.m_bounds.m_stop_time;
    }
    if (slot.m_long_running) {
        return std::nullopt;
    }
    const duration left = slot.m_estimate - (now - slot.m_ordered_at);
    return std::max<duration>(left >= duration(0) ? left : -left, min_remaining_time);
}

/// Determines the room of each candidate.
void find_rooms(const shard& state, candidate_workers& candidates, time_point now)
{
    for (candidate_worker& candidate : candidates.m_workers) {
        candidate.m_room = candidate.m_free;
        for (const auto& [key, slot] : candidate.m_worker->m_runs) {
            if (remaining_time(state, slot, now)) {
                candidate.m_room = candidate.m_room + slot.m_reserved;
            }
        }
    }
    candidates.m_has_rooms = true;
}

/// When a demand that is within a worker's room is expected to fit there.
time_point expected_room_at(const shard& state, const candidate_worker& candidate,
                            const resources& demand, time_point now)
{
    std::vector<std::pair<duration, const run_slot*>> ends;
    for (const auto& [key, slot] : candidate.m_worker->m_runs) {
        if (const std::optional<duration> left = remaining_time(state, slot, now)) {
            ends.emplace_back(*left, &slot);
        }
    }
    std::stable_sort(ends.begin(), ends.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    resources free = candidate.m_free;
    time_point room_at = now;
    for (const auto& [left, slot] : ends) {
        if (fits(demand, free)) {
            break;
        }
        free = free + slot->m_reserved;
        room_at = now + left;
    }
    return room_at;
}

/// True when the task needs no ticket or holds a valid one for the worker.
bool has_ticket(const shard& state, const worker_record& worker, const placement_request& request,
                time_point now)
{
    return !request.m_needs_ticket ||
           find_ticket(state, request.m_name, worker.m_info.m_id, now) != nullptr;
}

/// Cost of running a task on a worker, in multiples of its run time; lower is better.
double placement_cost(const shard& state, const candidate_worker& candidate,
                      const placement_request& request)
{
    const worker_record& worker = *candidate.m_worker;
    const submission_step& step = *request.m_step;
    const bool is_remote =
        !step.m_data_rack.empty() && worker.m_info.m_rack.str() != step.m_data_rack;
    double cost = worker.m_slowness > tolerated_slowness ? worker.m_slowness : 1;
    cost *= is_remote ? state.m_bounds.m_remote_factor : 1;
    if (request.m_task->m_failed_on == worker.m_info.m_id) {
        cost += weight_previous_failure;
    }
    const auto capacity =
        static_cast<double>(std::max<std::int64_t>(1, worker.m_info.m_capacity.m_cpu_millis));
    const auto free = static_cast<double>(candidate.m_free.m_cpu_millis);
    if (step.m_long_running) {
        cost += weight_same_rack * count_step_tasks_in_rack(request, worker);
        cost += weight_same_worker * count_step_runs(worker, request.m_name);
        cost += has_interference(worker, step) ? weight_interference : 0;
    }
    // Prefer fuller workers, so that whole machines stay free for large tasks and other pools.
    cost += weight_free_cores * free / capacity;
    return cost;
}

/// True when a worker is in a rack, or no rack is required.
bool is_in_rack(const worker_record& worker, const std::string& required_rack)
{
    return required_rack.empty() || worker.m_info.m_rack.str() == required_rack;
}

} // namespace

bool satisfies_constraints(const worker_record& worker, const placement_request& request)
{
    const submission_step& step = *request.m_step;
    return !(request.m_avoids_upkeep && worker.m_upkeep_due) &&
           (step.m_required_label.empty() || has_label(worker.m_info, step.m_required_label)) &&
           (step.m_max_per_worker == 0 ||
            count_step_runs(worker, request.m_name) < step.m_max_per_worker);
}

candidate_workers find_candidate_workers(shard& state, time_point now)
{
    candidate_workers candidates;
    std::int64_t capacity = 0;
    std::int64_t in_use = 0;
    std::size_t runs = 0;
    for (const auto& [id, worker] : state.m_workers) {
        runs += worker->m_runs.size();
        if (worker->m_listed) {
            capacity += worker->m_info.m_capacity.m_cpu_millis;
            in_use += worker->m_reserved.m_cpu_millis;
        }
        // Beside a run of unknown size no capacity is known to be free.
        if (worker->m_unknown_demands == 0 && accepts_starts(*worker, now)) {
            candidates.m_workers.push_back(
                {worker->m_info.m_capacity - worker->m_reserved, worker.get()});
        }
    }
    candidates.m_max_reserved =
        std::min(max_reserved_workers, std::max<std::size_t>(1, candidates.m_workers.size() / 2));
    candidates.m_runs_left = state.m_max_runs > runs ? state.m_max_runs - runs : 0;
    candidates.m_starts_left = state.m_max_new_starts;
    candidates.m_has_runs = runs > 0;
    if (in_use * 2 >= capacity) {
        state.m_half_used_at = now;
    }
    return candidates;
}

candidate_worker* choose_worker(shard& state, candidate_workers& candidates,
                                const placement_request& request, const std::string& required_rack,
                                time_point now)
{
    if (is_unplaceable(candidates, request.m_demand)) {
        return nullptr;
    }
    candidate_worker* best = nullptr;
    double best_cost = 0;
    bool any_fits = false;
    state.m_candidates += candidates.m_workers.size();
    for (candidate_worker& candidate : candidates.m_workers) {
        if (!fits(request.m_demand, candidate.m_free)) {
            continue;
        }
        any_fits = true;
        const worker_record& worker = *candidate.m_worker;
        if (!satisfies_constraints(worker, request) || !has_ticket(state, worker, request, now)) {
            continue;
        }
        if (!is_in_rack(worker, required_rack)) {
            continue;
        }
        const double cost = placement_cost(state, candidate, request);
        if (best == nullptr || cost < best_cost) {
            best = &candidate;
            best_cost = cost;
        }
    }
    if (!any_fits && candidates.m_unplaceable.size() < max_unplaceable_demands) {
        candidates.m_unplaceable.push_back(request.m_demand);
    }
    return best;
}

bool reserve_worker(const shard& state, candidate_workers& candidates,
                    const placement_request& request, const std::string& required_rack,
                    time_point now)
{
    if (candidates.m_reserved.size() >= candidates.m_max_reserved) {
        return false;
    }
    if (!candidates.m_has_rooms) {
        find_rooms(state, candidates, now);
    }
    auto best = candidates.m_workers.end();
    for (auto it = candidates.m_workers.begin(); it != candidates.m_workers.end(); ++it) {
        const worker_record& worker = *it->m_worker;
        if (fits(request.m_demand, it->m_room) && satisfies_constraints(worker, request) &&
            is_in_rack(worker, required_rack) &&
            (best == candidates.m_workers.end() ||
             it->m_free.m_cpu_millis > best->m_free.m_cpu_millis)) {
            best = it;
        }
    }
    if (best == candidates.m_workers.end()) {
        return false;
    }
    candidates.m_reserved.push_back({*best, expected_room_at(state, *best, request.m_demand, now)});
    candidates.m_workers.erase(best);
    return true;
}

candidate_worker* choose_reserved_worker(const shard& state, candidate_workers& candidates,
                                         const placement_request& request,
                                         const std::string& required_rack, time_point now)
{
    const bool is_long_running = request.m_step->m_long_running;
    const time_point ready_since =
        std::max(request.m_task->m_not_before, request.m_record->m_arrived);
    const bool has_waited = now - ready_since >= max_reservation_wait &&
                            (is_long_running || now - state.m_half_used_at >= max_reservation_wait);
    for (reserved_worker& reserved : candidates.m_reserved) {
        const worker_record& worker = *reserved.m_candidate.m_worker;
        const bool ends_before = !is_long_running && now + std::chrono::duration_cast<duration>(
                                                               request.m_expected_duration *
                                                               std::max(1.0, worker.m_slowness)) <=
                                                         reserved.m_until;
        if ((ends_before || has_waited) && fits(request.m_demand, reserved.m_candidate.m_free) &&
            satisfies_constraints(worker, request) && has_ticket(state, worker, request, now) &&
            is_in_rack(worker, required_rack)) {
            return &reserved.m_candidate;
        }
    }
    return nullptr;
}

placement_choice choose_placement(shard& state, candidate_workers& candidates,
                                  placement_request& request, time_point now)
{
    placement_choice choice;
    request.m_avoids_upkeep = request.m_step->m_long_running;
    choice.m_worker = choose_worker(state, candidates, request, "", now);
    if (choice.m_worker == nullptr && request.m_avoids_upkeep) {
        request.m_avoids_upkeep = false;
        choice.m_worker = choose_worker(state, candidates, request, "", now);
    }
    const std::string& rack = request.m_step->m_data_rack;
    if (choice.m_worker != nullptr && !is_in_rack(*choice.m_worker->m_worker, rack)) {
        // A worker in the rack that costs more than one elsewhere is no reason to wait.
        choice.m_waits =
            choose_worker(state, candidates, request, rack, now) == nullptr &&
            waits_for_data_rack(state, candidates, request, *choice.m_worker->m_worker, now);
        choice.m_worker = choice.m_waits ? nullptr : choice.m_worker;
    }
    if (choice.m_worker == nullptr) {
        choice.m_worker =
            choose_reserved_worker(state, candidates, request, choice.m_waits ? rack : "", now);
        choice.m_is_reserved = choice.m_worker != nullptr;
    }
    if (choice.m_worker != nullptr) {
        request.m_place_factor = place_factor(state, *request.m_step, *choice.m_worker->m_worker);
    }
    return choice;
}

placement_request make_placement_request(const shard& state, submission_record& record,
                                         const task_name& name, const scheduled_task& task)
{
    const submission_step& step = record.m_definition.m_steps[name.m_step];
    placement_request request{&record, &step,         name,
                              &task,   step.m_demand, expected_time(state, record, step)};
    if (step.m_uses_idle_cores) {
        request.m_demand.m_cpu_millis = 0;
    }
    request.m_needs_ticket = contract_of(state, record).m_needs_advice;
    return request;
}

} // namespace guavabay
