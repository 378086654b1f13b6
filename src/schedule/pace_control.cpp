#include <algorithm>

#include "schedule/shard_steps.h"

namespace guavabay {

namespace {

/// A tail latency above this share of its target lowers the pace of the runs that use idle cores.
constexpr double lower_pace_threshold = 0.85;
/// A tail latency below this share of its target lets the pace rise.
constexpr double raise_pace_threshold = 0.6;
/// The pace is lowered by a factor and raised by a fixed step, in percent of full speed.
constexpr double pace_decrease_factor = 0.5;
constexpr std::int32_t pace_increase_percent = 10;
constexpr std::int32_t full_pace_percent = 100;
/// Minimum time between changes, until the reported tail latency reflects the previous one.
constexpr milliseconds pace_decrease_interval{400};
constexpr milliseconds pace_increase_interval{700};

} // namespace

void adjust_paces(shard& state, time_point now)
{
    for (const auto& [id, owned] : state.m_workers) {
        worker_record& worker = *owned;
        if (!worker.m_answered || worker.m_lease_ended) {
            continue;
        }
        double worst_latency_ratio = 0;
        bool has_latency_target = false;
        for (const auto& [key, slot] : worker.m_runs) {
            if (slot.m_tail_latency_target_ms > 0 && slot.m_phase == run_phase::running) {
                has_latency_target = true;
                worst_latency_ratio = std::max(
                    worst_latency_ratio, static_cast<double>(slot.m_load) /
                                             static_cast<double>(slot.m_tail_latency_target_ms));
            }
        }
        for (auto& [key, slot] : worker.m_runs) {
            if (!slot.m_uses_idle_cores || slot.m_phase != run_phase::running ||
                slot.m_order_pending) {
                continue;
            }
            std::int32_t new_pace = slot.m_pace;
            if (has_latency_target && worst_latency_ratio > lower_pace_threshold &&
                now - slot.m_pace_at > pace_decrease_interval) {
                new_pace = static_cast<std::int32_t>(slot.m_pace * pace_decrease_factor);
            }
            else if ((!has_latency_target || worst_latency_ratio < raise_pace_threshold) &&
                     now - slot.m_pace_at > pace_increase_interval) {
                new_pace = std::min(
                    full_pace_percent,
                    slot.m_pace + (has_latency_target ? pace_increase_percent : full_pace_percent));
            }
            if (new_pace == slot.m_pace) {
                continue;
            }
            slot.m_order_pending = true;
            slot.m_pace_at = now;
            worker_order order;
            order.m_kind = worker_order::kind::pace;
            order.m_worker = id;
            order.m_address = worker.m_info.m_address;
            order.m_task = slot.m_task;
            order.m_run = slot.m_run;
            order.m_percent = new_pace;
            state.m_orders.push_back(std::move(order));
        }
    }
}

} // namespace guavabay
