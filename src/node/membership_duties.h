#pragma once

#include "node/node_state.h"

namespace guavabay {

/// Sends heartbeats to a few peers in turn, and greets peers that are known by address only.
void on_heartbeat_tick(node_state& node, time_point now, node_output& out);

/// Sends this process's description to every peer at once, after its phase changed.
void announce(node_state& node, time_point now, node_output& out);

/// Takes in a peer's heartbeat.
void on_heartbeat(node_state& node, const host_id& from, const heartbeat_message& heartbeat,
                  time_point now, node_output& out);

/// Describes the members that a peer knows by tag only.
void on_member_ask(node_state& node, const host_id& from, const member_ask_message& ask,
                   node_output& out);

/// Asks a host whether it is alive, unless that question is open already.
void probe_host(node_state& node, const host_id& host, time_point now, node_output& out);

/// Clears answered probes and suspects hosts that did not answer.
void on_probe_tick(node_state& node, time_point now, node_output& out);

/// The host with a given hash among the known members; empty when there is none.
std::optional<host_id> host_by_hash(const node_state& node, std::uint64_t hash);

} // namespace guavabay
