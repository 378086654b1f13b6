#pragma once

#include "node/node_state.h"

namespace guavabay {

/// Takes a record of the fleet into this process's picture of it; false for any other record. The
/// fleet's hosts are read from the store alone and not kept as text, since only the holder of the
/// duty decides on them and it cannot decide while the store is away.
bool take_fleet_record(node_state& node, const config_record& record, node_output& out);

/// Forgets hosts that a full reading of the store no longer shows.
void forget_unlisted_hosts(node_state& node, const std::vector<std::string>& shown_keys);

/// Takes note that the record of the wave has changed.
void follow_wave_record(node_state& node, const config_record& record);

/// Derives the budgets of the pools anew after contracts have changed.
void follow_contracts(node_state& node);

/// Takes the duty of moving and maintaining hosts when it falls to this process, and carries out
/// one change after the other while it does.
void on_fleet_tick(node_state& node, time_point now, wall_time wall, node_output& out);

/// Takes the result of a call of the duty; false when it belongs to none.
bool on_fleet_result(node_state& node, const store_result& result, time_point now,
                     node_output& out);

/// Starts an operator's call about the fleet.
void on_fleet_request(node_state& node, const operator_request& request, wall_time wall,
                      node_output& out);

/// True when this process holds the duty and has seen everything written before it did.
bool holds_fleet_duty(const node_state& node);

} // namespace guavabay
