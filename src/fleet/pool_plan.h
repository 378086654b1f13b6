#pragma once

#include <map>
#include <optional>
#include <string>

#include "fleet/wave_plan.h"

namespace guavabay {

/// What hosts cost the operators, relative to each other. The only difference between users.
struct policy_weights {
    double m_idle_host_cost = 1; ///< Cost of one idle host for one hour.
    double m_move_cost = 1;      ///< Cost of moving one host.
};

/// What a pool is asked for, learned from observations.
struct demand_forecast {
    double m_mean = 0;      ///< Hosts' worth of work, moving average.
    double m_deviation = 0; ///< Moving average of the distance from the mean.
    bool m_has_estimate = false;
    double m_window_sum = 0; ///< Observations of the present window, added up.
    std::uint32_t m_window_count = 0;
    time_point m_window_started_at{};
    time_point m_shortage_since{}; ///< Since when the pool has too few hosts; the epoch when not.
    time_point m_surplus_since{}; ///< Since when it has too many.
};

/// The forecasts of all pools.
using demand_forecasts = std::map<pool_id, demand_forecast>;

/// Takes in what a pool was asked for, in hosts' worth of work. Observations are averaged over
/// windows as long as a move takes to be worth it, so that bursts of seconds are left to queues.
void observe_demand(demand_forecasts& forecasts, const pool_id& pool, double hosts, time_point now);

/// Hosts that a pool needs for its contracts, its failure reserve and its forecast with its error.
std::uint32_t needed_hosts(const fleet_view& fleet, const pool_id& pool,
                           const demand_forecast& forecast);

/// The next move between a pool and the spare pool; empty when none is worth its cost. Demand
/// that comes and goes within seconds moves nothing.
std::optional<host_change> plan_rebalance(const fleet_view& fleet, demand_forecasts& forecasts,
                                          const pool_id& spare, const policy_weights& weights,
                                          time_point now, wall_time wall);

} // namespace guavabay
