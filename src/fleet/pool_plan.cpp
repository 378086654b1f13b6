#include "fleet/pool_plan.h"

#include <algorithm>
#include <cmath>

#include "fleet/budget.h"

namespace guavabay {

namespace {

/// Time constant of the moving averages.
constexpr std::chrono::duration<double> forecast_time_constant = std::chrono::minutes(5);

/// A pool is sized for the mean demand plus this many deviations.
constexpr double deviation_factor = 2;

/// Limits of the time that a surplus lasts before a host is moved. The minimum is also the length
/// of an observation window and of the shortest shortage that moves a host.
constexpr std::chrono::minutes min_hold_time{2};
constexpr std::chrono::hours max_hold_time{24};

/// Returns how long a surplus has to last before an idle host has cost as much as its move.
duration hold_time(const policy_weights& weights)
{
    const double hours = weights.m_move_cost / weights.m_idle_host_cost;
    const auto wanted = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::ratio<3600>>(hours));
    return std::clamp<duration>(wanted, min_hold_time, max_hold_time);
}

/// Plans the move of a host in the rack with the most hosts of the pool in service, which keeps the
/// pool spread over racks. Returns nothing when there is no such host or a budget forbids its move.
std::optional<host_change> plan_move_from_largest_rack(const fleet_view& fleet, const pool_id& from,
                                                       const pool_id& to, wall_time wall)
{
    std::map<std::pair<zone_id, rack_id>, std::uint32_t> racks;
    for (const auto& [id, host] : fleet.m_hosts) {
        if (host.m_pool == from && is_in_service(fleet, host)) {
            ++racks[{host.m_zone, host.m_rack}];
        }
    }
    const fleet_host* best = nullptr;
    std::uint32_t best_size = 0;
    for (const auto& [id, host] : fleet.m_hosts) {
        if (host.m_pool != from || !is_in_service(fleet, host) || host.m_target) {
            continue;
        }
        const std::uint32_t size = racks[{host.m_zone, host.m_rack}];
        if (size > best_size) {
            best = &host;
            best_size = size;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return plan_move(fleet, best->m_id, to, wall);
}

/// Counts the hosts that are about to join a pool.
std::uint32_t count_joining(const fleet_view& fleet, const pool_id& pool)
{
    std::uint32_t count = 0;
    for (const auto& [id, host] : fleet.m_hosts) {
        count += host.m_target == pool ? 1U : 0U;
    }
    return count;
}

} // namespace

void observe_demand(demand_forecasts& forecasts, const pool_id& pool, double hosts, time_point now)
{
    demand_forecast& forecast = forecasts[pool];
    if (forecast.m_window_count == 0) {
        forecast.m_window_started_at = now;
    }
    forecast.m_window_sum += hosts;
    ++forecast.m_window_count;
    const duration passed = now - forecast.m_window_started_at;
    if (passed < min_hold_time) {
        return;
    }
    const double average = forecast.m_window_sum / forecast.m_window_count;
    forecast.m_window_sum = 0;
    forecast.m_window_count = 0;
    if (!forecast.m_has_estimate) {
        forecast.m_has_estimate = true;
        forecast.m_mean = average;
        return;
    }
    const double weight =
        1 - std::exp(-std::chrono::duration<double>(passed) / forecast_time_constant);
    const double distance = std::abs(average - forecast.m_mean);
    forecast.m_mean += weight * (average - forecast.m_mean);
    forecast.m_deviation += weight * (distance - forecast.m_deviation);
}

std::uint32_t needed_hosts(const fleet_view& fleet, const pool_id& pool,
                           const demand_forecast& forecast)
{
    const auto budget = fleet.m_budgets.find(pool);
    const pool_count count = count_pool(fleet, pool);
    const double wanted = forecast.m_mean + deviation_factor * forecast.m_deviation;
    std::uint32_t needed = static_cast<std::uint32_t>(std::ceil(wanted)) + count.m_largest_domain;
    if (budget != fleet.m_budgets.end()) {
        needed = std::max(needed, budget->second.m_min + count.m_largest_domain);
        needed = std::min(needed, budget->second.m_max);
    }
    return needed;
}

std::optional<host_change> plan_rebalance(const fleet_view& fleet, demand_forecasts& forecasts,
                                          const pool_id& spare, const policy_weights& weights,
                                          time_point now, wall_time wall)
{
    for (auto& [pool, forecast] : forecasts) {
        if (pool == spare || !forecast.m_has_estimate) {
            continue;
        }
        const std::uint32_t needed = needed_hosts(fleet, pool, forecast);
        const std::uint32_t current =
            count_pool(fleet, pool).m_in_service + count_joining(fleet, pool);
        const bool is_short = current < needed;
        const bool has_surplus = current > needed + 1;
        forecast.m_shortage_since = !is_short ? time_point{}
                                    : forecast.m_shortage_since == time_point{}
                                        ? now
                                        : forecast.m_shortage_since;
        forecast.m_surplus_since = !has_surplus ? time_point{}
                                   : forecast.m_surplus_since == time_point{}
                                       ? now
                                       : forecast.m_surplus_since;
        if (is_short && now - forecast.m_shortage_since >= min_hold_time) {
            std::optional<host_change> change =
                plan_move_from_largest_rack(fleet, spare, pool, wall);
            if (change) {
                return change;
            }
        }
        if (has_surplus && now - forecast.m_surplus_since >= hold_time(weights)) {
            std::optional<host_change> change =
                plan_move_from_largest_rack(fleet, pool, spare, wall);
            if (change) {
                return change;
            }
        }
    }
    return std::nullopt;
}

} // namespace guavabay
