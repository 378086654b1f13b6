#pragma once

#include "node/node_state.h"

namespace guavabay {

/// Takes a record of the fleet into this process's picture of it; false for any other record. The
/// fleet's hosts are read from the store alone and not kept as text, since only the holder of the
/// duty decides on them and it cannot decide while the store is away.
bool take_fleet_record(node_state& node, const config_record& record, node_output& out);

/// Forgets hosts and reports that a full reading of the store no longer shows.
void forget_unlisted_hosts(node_state& node, const key_hashes& shown);

/// Takes note that the record of the wave has changed.
void follow_wave_record(node_state& node, const config_record& record);

/// Derives the budgets of the pools anew after contracts have changed.
void follow_contracts(node_state& node);

} // namespace guavabay
