#include "schedule/worker_choice.h"

#include <algorithm>

#include "schedule/advice.h"

namespace guavabay {

namespace {

/// Weights of the choice between workers, in units of one run time.
constexpr double weight_leftover = 0.15;
constexpr double weight_failed_here = 3;
constexpr double weight_same_rack = 0.5;
constexpr double weight_same_worker = 0.1;
constexpr double weight_disturbed = 2;

/// Slowness up to this factor is noise.
constexpr double tolerated_slowness = 1.6;

bool has_label(const worker_listing& info, const std::string& label)
{
    return std::find(info.m_labels.begin(), info.m_labels.end(), label) != info.m_labels.end();
}

std::uint32_t same_step_runs(const worker_record& worker, const task_name& name)
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
        return entry.second->m_info.m_rack.str() == rack && accepts_starts(*entry.second, now);
    });
}

std::uint32_t same_step_in_rack(const shard& state, const worker_record& worker,
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
bool is_disturbed(const worker_record& worker, const submission_step& step)
{
    return std::any_of(worker.m_runs.begin(), worker.m_runs.end(), [&](const auto& entry) {
        return step.m_fills ? entry.second.m_tail_latency_target_ms > 0
                            : step.m_tail_target_ms > 0 && entry.second.m_uses_idle_cores;
    });
}

/// True when it is known what everything on a worker takes.
bool room_is_known(const worker_record& worker)
{
    return std::none_of(worker.m_runs.begin(), worker.m_runs.end(),
                        [](const auto& entry) { return entry.second.m_unknown_demand; });
}

/// True when a demand no larger than this one found no room before.
bool is_too_large(const open_room& room, const resources& demand)
{
    return std::any_of(room.m_too_large.begin(), room.m_too_large.end(),
                       [&](const resources& smaller) { return fits(smaller, demand); });
}

bool may_run_on(const worker_record& worker, const wanted_task& wanted)
{
    const submission_step& step = *wanted.m_step;
    return !(wanted.m_avoids_upkeep && worker.m_upkeep_due) &&
           (step.m_required_label.empty() || has_label(worker.m_info, step.m_required_label)) &&
           (step.m_max_per_worker == 0 ||
            same_step_runs(worker, wanted.m_name) < step.m_max_per_worker);
}

bool has_ticket(const shard& state, const worker_record& worker, const wanted_task& wanted,
                time_point now)
{
    return !wanted.m_needs_ticket ||
           find_ticket(state, wanted.m_name, worker.m_info.m_id, now) != nullptr;
}

/// Cost of a worker for a task, lower is better, in run times.
double cost_of(const shard& state, const worker_record& worker, const wanted_task& wanted)
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

} // namespace

open_room find_open_room(shard& state, time_point now)
{
    open_room room;
    for (const auto& [id, worker] : state.m_workers) {
        if (accepts_starts(*worker, now) && room_is_known(*worker)) {
            room.m_workers.push_back(worker.get());
        }
    }
    return room;
}

worker_record* choose_worker(shard& state, open_room& room, const wanted_task& wanted,
                             const std::string& only_rack, time_point now)
{
    if (is_too_large(room, wanted.m_demand)) {
        return nullptr;
    }
    worker_record* best = nullptr;
    double best_cost = 0;
    bool any_room = false;
    const submission_step& step = *wanted.m_step;
    const bool wait_for_data = !step.m_data_rack.empty() &&
                               rack_has_workers(state, step.m_data_rack, now) &&
                               now - wanted.m_record->m_arrived <
                                   std::chrono::duration_cast<duration>(
                                       wanted.m_expected * (state.m_bounds.m_remote_factor - 1));
    state.m_candidates += room.m_workers.size();
    for (worker_record* candidate : room.m_workers) {
        worker_record& worker = *candidate;
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

bool keep_worker(open_room& room, const wanted_task& wanted)
{
    const auto free = [](const worker_record* one) {
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
    const submission_step& step = record.m_definition.m_steps[name.m_step];
    wanted_task wanted{&record, &step,         name,
                       &task,   step.m_demand, expected_time(state, record, step)};
    if (step.m_fills) {
        wanted.m_demand.m_cpu_millis = 0;
    }
    wanted.m_needs_ticket = contract_of(state, record).m_needs_advice;
    return wanted;
}

} // namespace guavabay
