#pragma once

#include "node/node_state.h"

namespace guavabay {

/// Starts to apply the contract in an operator's call.
void begin_apply(node_state& node, const operator_request& request, time_point now, wall_time wall,
                 node_output& out);

/// Starts to end the contract that an operator's call names.
void begin_end(node_state& node, const operator_request& request, time_point now, wall_time wall,
               node_output& out);

/// Has a wave's record, which is written and in force here, confirmed by a host in another zone
/// before the operator's call is answered.
void begin_wave_confirmation(node_state& node, std::uint64_t operator_call, config_record record,
                             std::string summary, time_point now, node_output& out);

/// Goes on with the change that a store call belongs to; false when it belongs to none.
bool on_change_result(node_state& node, const store_result& result, time_point now, wall_time wall,
                      node_output& out);

/// Takes a peer's confirmation that records are in force there.
void on_record_ack(node_state& node, const host_id& from, const record_ack_message& ack,
                   node_output& out);

/// Repeats what changes wait for, and answers operators whose time is up.
void on_change_tick(node_state& node, time_point now, node_output& out);

} // namespace guavabay
