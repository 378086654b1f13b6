#include <algorithm>
#include <cmath>

#include "schedule/shard_steps.h"

namespace guavabay {

namespace {

/// Time constants of the short and the long average of arriving work. The difference between the
/// averages gives the growth rate.
constexpr double short_window_ms = 450;
constexpr double long_window_ms = 1300;

/// Approximate time from ordering a machine's move until it runs tasks.
constexpr double move_lead_ms = 2000;

/// Limit of the forecast as a multiple of the recent arrival rate.
constexpr double max_growth = 3;

/// Factor over the recent arrival rate that covers uneven arrivals.
constexpr double arrival_headroom = 1.3;

/// A submission is not expected to be finished in less than this time, in which a machine that is
/// moved now joins.
constexpr double min_backlog_time_ms = 1200;

/// The same for work whose hard deadline is over.
constexpr double hopeless_backlog_time_ms = 5000;

/// Age at which the reported number of incoming machines is no longer used.
constexpr milliseconds incoming_validity{1500};

/// Age up to which the pool's capacity is not determined anew.
constexpr milliseconds capacity_validity{10};

/// Time that a run is expected to take on when it has exceeded its estimate.
constexpr milliseconds overdue_run_time{200};

/// Share of a machine's capacity that tasks of different sizes can fill.
constexpr double packing_efficiency = 0.9;

/// Limit of computed times, for work that would never be done.
constexpr double longest_work_ms = 1e9;

/// The value of an exponentially decaying sum after some time has passed.
double decayed(double value, double passed_ms, double window_ms)
{
    return value * std::exp(-std::max(0.0, passed_ms) / window_ms);
}

/// Forecast of the cores that arriving work needs by the time a machine moved now has joined.
double forecast_cores(const arrival_rate& rate, time_point now)
{
    const double passed = to_milliseconds(now - rate.m_at);
    const double recent = decayed(rate.m_short_core_ms, passed, short_window_ms) / short_window_ms;
    const double before = decayed(rate.m_long_core_ms, passed, long_window_ms) / long_window_ms;
    const double growth = (recent - before) / (long_window_ms - short_window_ms);
    const double expected = recent * arrival_headroom + std::max(0.0, growth) * move_lead_ms;
    return std::min(expected, recent * max_growth);
}

/// Cores of the machines that are being moved to the pool, assuming the average size of the pool's
/// workers. Zero if the reported number is out of date.
double incoming_cores(const shard& state, time_point now)
{
    if (state.m_incoming_machines == 0 || state.m_workers.empty() ||
        now - state.m_incoming_updated_at > incoming_validity) {
        return 0;
    }
    double sum = 0;
    for (const auto& [id, worker] : state.m_workers) {
        sum += static_cast<double>(worker->m_info.m_capacity.m_cpu_millis) / 1000.0;
    }
    return sum / static_cast<double>(state.m_workers.size()) * state.m_incoming_machines;
}

/// Time in which the remaining work of a submission should be done: by its objective. Asking for it
/// sooner would take machines from pools that need them next. Work that is late in any case does
/// not keep machines from pools whose work can still be on time.
double time_for_backlog_ms(const submission_record& record, time_point now)
{
    const double shortest =
        std::max(min_backlog_time_ms, to_milliseconds(record.m_remaining_critical_path));
    switch (record.m_tier) {
    case submission_tier::late:
        return std::max(shortest, to_milliseconds(record.m_hard_deadline - now));
    case submission_tier::hopeless:
        return std::max(shortest, hopeless_backlog_time_ms);
    case submission_tier::on_time:
        return std::max(shortest, to_milliseconds(record.m_objective - now));
    case submission_tier::long_running:
        break;
    }
    return shortest;
}

} // namespace

const pool_capacity& current_capacity(shard& state, time_point now)
{
    pool_capacity& capacity = state.m_capacity;
    if (now - capacity.m_at < capacity_validity) {
        return capacity;
    }
    std::int64_t usable = 0;
    for (const auto& [id, worker] : state.m_workers) {
        usable += accepts_starts(*worker, now) ? worker->m_info.m_capacity.m_cpu_millis : 0;
    }
    capacity.m_usable_cores = static_cast<double>(usable) / 1000.0;
    capacity.m_incoming_cores = incoming_cores(state, now);
    capacity.m_at = now;
    return capacity;
}

double available_core_ms(const pool_capacity& capacity, double cores, time_point now,
                         time_point until)
{
    const double left = std::max(0.0, to_milliseconds(until - now));
    return cores * left + capacity.m_incoming_cores * std::max(0.0, left - join_time_ms);
}

duration estimate_work_time(const pool_capacity& capacity, double core_ms)
{
    const double cores = capacity.m_usable_cores;
    double needed = core_ms / cores;
    if (needed > join_time_ms) {
        const double incoming = capacity.m_incoming_cores;
        needed = (core_ms + incoming * join_time_ms) / (cores + incoming);
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(std::min(needed, longest_work_ms)));
}

void record_arrival(shard& state, const submission& what, time_point now)
{
    arrival_rate& rate = state.m_arrivals;
    const double passed = to_milliseconds(now - rate.m_at);
    const double work = total_core_ms(what);
    rate.m_short_core_ms = decayed(rate.m_short_core_ms, passed, short_window_ms) + work;
    rate.m_long_core_ms = decayed(rate.m_long_core_ms, passed, long_window_ms) + work;
    rate.m_at = now;
}

milliseconds expected_busy_time(const worker_record& worker, time_point now)
{
    milliseconds longest{0};
    for (const auto& [key, slot] : worker.m_runs) {
        if (slot.m_long_running) {
            continue;
        }
        const auto elapsed = std::chrono::duration_cast<milliseconds>(now - slot.m_ordered_at);
        longest = std::max({longest, slot.m_estimate - elapsed, overdue_run_time});
    }
    return longest;
}

double machines_needed(const shard& state, time_point now)
{
    double backlog_cores = 0;
    double long_running_cores = 0;
    double long_running_memory = 0;
    double memory_per_core = 0;
    double weight = 0;
    resources largest{1, 1, 0};
    for (const submission_record* record : state.m_open_submissions) {
        if (!record->m_accept_stored || record->m_cancel_requested) {
            continue;
        }
        backlog_cores += record->m_remaining_core_ms / time_for_backlog_ms(*record, now);
        for (const submission_step& step : record->m_definition.m_steps) {
            const auto count = static_cast<double>(step.m_task_count);
            const auto cores = static_cast<double>(step.m_demand.m_cpu_millis) / 1000.0;
            const auto memory = static_cast<double>(step.m_demand.m_memory_mb);
            if (step.m_long_running) {
                long_running_cores += step.m_uses_idle_cores ? 0 : count * cores;
                long_running_memory += count * memory;
            }
            else if (cores > 0) {
                memory_per_core += count * memory;
                weight += count * cores;
            }
        }
    }
    memory_per_core = weight > 0 ? memory_per_core / weight : 0;
    for (const auto& [id, worker] : state.m_workers) {
        largest.m_cpu_millis =
            std::max(largest.m_cpu_millis, worker->m_info.m_capacity.m_cpu_millis);
        largest.m_memory_mb = std::max(largest.m_memory_mb, worker->m_info.m_capacity.m_memory_mb);
    }
    const double cores = std::max(forecast_cores(state.m_arrivals, now), backlog_cores);
    const double by_cores =
        (cores + long_running_cores) * 1000.0 / static_cast<double>(largest.m_cpu_millis);
    const double by_memory =
        (cores * memory_per_core + long_running_memory) / static_cast<double>(largest.m_memory_mb);
    // Each long-running task that fits on no worker is counted as one more machine.
    return std::max(by_cores, by_memory) / packing_efficiency + state.m_unplaced_by_start +
           state.m_unplaced_by_evacuation;
}

} // namespace guavabay
