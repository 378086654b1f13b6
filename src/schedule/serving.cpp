#include <algorithm>

#include "schedule/shard_steps.h"

namespace guavabay {

namespace {

/// A tail above this share of its target lowers the pace of what fills beside it.
constexpr double high_share = 0.85;
/// A tail below this share of its target lets the pace rise.
constexpr double low_share = 0.6;
/// Factor and step of a change of pace, in percent.
constexpr double lower_factor = 0.5;
constexpr std::int32_t raise_step = 10;
constexpr std::int32_t full_pace = 100;
/// A pace is changed again only after the tail's figure shows the last change.
constexpr milliseconds lower_interval{400};
constexpr milliseconds raise_interval{700};

} // namespace

void adjust_paces(shard& state, time_point now)
{
    for (const auto& [id, owned] : state.m_workers) {
        worker_record& worker = *owned;
        if (!worker.m_answered || worker.m_lease_ended) {
            continue;
        }
        double worst = 0;
        bool serving = false;
        for (const auto& [key, slot] : worker.m_runs) {
            if (slot.m_tail_latency_target_ms > 0 && slot.m_phase == run_phase::running) {
                serving = true;
                worst = std::max(worst, static_cast<double>(slot.m_load) /
                                            static_cast<double>(slot.m_tail_latency_target_ms));
            }
        }
        for (auto& [key, slot] : worker.m_runs) {
            if (!slot.m_uses_idle_cores || slot.m_phase != run_phase::running ||
                slot.m_order_pending) {
                continue;
            }
            std::int32_t wanted = slot.m_pace;
            if (serving && worst > high_share && now - slot.m_pace_at > lower_interval) {
                wanted = static_cast<std::int32_t>(slot.m_pace * lower_factor);
            }
            else if ((!serving || worst < low_share) && now - slot.m_pace_at > raise_interval) {
                wanted = std::min(full_pace, slot.m_pace + (serving ? raise_step : full_pace));
            }
            if (wanted == slot.m_pace) {
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
            order.m_percent = wanted;
            state.m_orders.push_back(std::move(order));
        }
    }
}

} // namespace guavabay
