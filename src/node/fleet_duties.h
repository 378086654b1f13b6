#pragma once

#include "node/node_state.h"

namespace guavabay {

/// Takes the duty of moving and maintaining hosts when it falls to this process, and carries out
/// one change after the other while it does.
void on_fleet_tick(node_state& node, time_point now, wall_time wall, node_output& out);

/// Takes the result of a call of the duty; false when it belongs to none.
bool on_fleet_result(node_state& node, const store_result& result, time_point now,
                     node_output& out);

/// Takes in how much work a pool is asked for, when this process sizes the pools.
void on_pool_demand(node_state& node, const pool_demand_message& demand, time_point now);

/// The process to which the fleet's duty falls; empty when there is none.
std::optional<host_id> fleet_duty_owner(const node_state& node, time_point now);

/// Starts an operator's call about the fleet.
void on_fleet_request(node_state& node, const operator_request& request, wall_time wall,
                      node_output& out);

/// The write that carries out a change of a host.
fleet_write make_write(const host_change& change);

/// True when this process holds the duty and has seen everything written before it did.
bool holds_fleet_duty(const node_state& node);

} // namespace guavabay
