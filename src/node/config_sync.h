#pragma once

#include "node/node_state.h"

namespace guavabay {

/// Takes in records from the store or a peer; true when at least one was newer than what was
/// known. Everything that follows from the new configuration is brought up to date.
bool merge_records(node_state& node, const std::vector<config_record>& records, time_point now,
                   wall_time wall, node_output& out);

/// Takes in what the store told by itself.
void on_store_update(node_state& node, const store_update& update, time_point now, wall_time wall,
                     node_output& out);

/// Takes note that the store answers again or no longer.
void on_store_reachability(node_state& node, const store_reachability& state, node_output& out);

/// Takes in records from a peer and confirms them when asked to.
void on_records(node_state& node, const host_id& from, const record_message& message,
                time_point now, wall_time wall, node_output& out);

/// Answers a peer's hashes with the versions in the groups that differ.
void on_digest(node_state& node, const host_id& from, const digest_message& message,
               node_output& out);

/// Compares a peer's versions: asks for what is newer there and sends what is newer here.
void on_versions(node_state& node, const host_id& from, const version_message& message,
                 time_point now, node_output& out);

/// Sends records to a peer that asked for them.
void on_record_ask(node_state& node, const host_id& from, const record_ask_message& message,
                   node_output& out);

/// Compares a peer's total hash with this process's, and starts a comparison when they differ.
void compare_digests(node_state& node, const host_id& from, std::uint64_t digest, time_point now,
                     node_output& out);

/// Notes that this process must learn the configuration again before it serves.
void need_sync(node_state& node, time_point now, node_output& out);

/// Goes on with learning the configuration at the start or after a pause.
void on_sync_tick(node_state& node, time_point now, node_output& out);

} // namespace guavabay
