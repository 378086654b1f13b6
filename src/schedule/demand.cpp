#include <algorithm>
#include <cmath>

#include "schedule/shard_steps.h"

namespace guavabay {

namespace {

/// Arriving work is averaged over about this time: long enough for single submissions, short
/// enough for a rise within a second.
constexpr double arrival_window_ms = 700;

/// Work at hand should be done within this time.
constexpr double backlog_time_ms = 1200;

/// Arriving work grows while machines are on their way.
constexpr double arrival_growth = 1.5;

/// Share of a machine that tasks of uneven size fill.
constexpr double packing_share = 0.9;

} // namespace

void note_arrival(shard& state, const submission& what, time_point now)
{
    arrival_rate& rate = state.m_arrivals;
    const double passed = to_milliseconds(now - rate.m_at);
    const double faded = std::exp(-std::max(0.0, passed) / arrival_window_ms);
    rate.m_core_ms = rate.m_core_ms * faded + total_work(what);
    rate.m_at = now;
}

double machines_needed(const shard& state, time_point now)
{
    double backlog = 0;
    double lasting_cores = 0;
    double lasting_memory = 0;
    double memory_per_core = 0;
    double weight = 0;
    resources largest{1, 1, 0};
    for (const submission_record* record : state.m_open) {
        if (!record->m_accept_stored || record->m_cancel_requested) {
            continue;
        }
        backlog += record->m_work_left;
        for (const submission_step& step : record->m_what.m_steps) {
            const auto count = static_cast<double>(step.m_task_count);
            const auto cores = static_cast<double>(step.m_demand.m_cpu_millis) / 1000.0;
            const auto memory = static_cast<double>(step.m_demand.m_memory_mb);
            if (step.m_lasting) {
                lasting_cores += step.m_fills ? 0 : count * cores;
                lasting_memory += count * memory;
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
    const double passed = to_milliseconds(now - state.m_arrivals.m_at);
    const double arriving = state.m_arrivals.m_core_ms *
                            std::exp(-std::max(0.0, passed) / arrival_window_ms) /
                            arrival_window_ms;
    const double cores = std::max(arriving * arrival_growth, backlog / backlog_time_ms);
    const double by_cores =
        (cores + lasting_cores) * 1000.0 / static_cast<double>(largest.m_cpu_millis);
    const double by_memory =
        (cores * memory_per_core + lasting_memory) / static_cast<double>(largest.m_memory_mb);
    return std::max(by_cores, by_memory) / packing_share;
}

} // namespace guavabay
