#pragma once

#include <map>
#include <optional>
#include <string>

#include "fleet/wave_plan.h"

namespace guavabay {

/// Costs of idle hosts and of moves, relative to each other. Operators tune the plan by these
/// weights alone.
struct policy_weights {
    double m_idle_host_cost = 1; ///< Cost of one host that is idle for one hour.
    double m_move_cost = 1;      ///< Cost of moving one host to another pool.
};

/// Demand on one pool, estimated from observations. The unit is hosts that the work would fill.
struct demand_forecast {
    double m_mean = 0;                ///< Moving average, in hosts.
    double m_deviation = 0;           ///< Moving average of the absolute distance from the mean.
    bool m_has_estimate = false;      ///< The first window has ended.
    double m_window_sum = 0;          ///< Sum of the observations of the current window, in hosts.
    std::uint32_t m_window_count = 0; ///< Observations in the current window.
    time_point m_window_started_at{};
    time_point m_shortage_since{}; ///< Start of the present shortage; the epoch when there is none.
    time_point m_surplus_since{};  ///< Start of the present surplus; the epoch when there is none.
};

/// Forecasts by pool.
using demand_forecasts = std::map<pool_id, demand_forecast>;

/// Adds an observation of a pool's demand, in hosts. Observations are averaged over windows as long
/// as a shortage must last before a move is worth its cost, so that queues absorb bursts of
/// seconds.
void observe_demand(demand_forecasts& forecasts, const pool_id& pool, double hosts, time_point now);

/// Returns the number of hosts that a pool needs to cover its contracts, its forecast with a margin
/// for error, and the loss of its largest failure domain. A pool with a budget needs
/// at most what its contracts allow.
std::uint32_t needed_hosts(const fleet_view& fleet, const pool_id& pool,
                           const demand_forecast& forecast);

/// Returns the next move of a host between a pool and the spare pool, or nothing when none is worth
/// its cost. A shortage or surplus has to last for minutes first; `forecasts` keeps its start.
std::optional<host_change> plan_rebalance(const fleet_view& fleet, demand_forecasts& forecasts,
                                          const pool_id& spare, const policy_weights& weights,
                                          time_point now, wall_time wall);

} // namespace guavabay
