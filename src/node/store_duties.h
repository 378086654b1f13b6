#pragma once

#include "node/node_state.h"

namespace guavabay {

/// Keeps this process's lease and its record in the store.
void on_lease_tick(node_state& node, time_point now, node_output& out);

/// Takes the result of a lease or registration call; false when it belongs to none.
bool on_lease_result(node_state& node, const store_result& result, time_point now,
                     node_output& out);

/// Proposes a new epoch when the members that keep idempotency keys have changed.
void on_epoch_tick(node_state& node, time_point now, node_output& out);

/// True when this process may decide on idempotency keys in the current epoch.
bool epoch_is_valid(const node_state& node, time_point now);

} // namespace guavabay
