#pragma once

#include "node/node_state.h"

namespace guavabay {

/// Answers a question about a customer from what the members said. For a proof of departure
/// that is complete, the proof is first kept in the store, and the answer follows. True when the
/// question is answered.
bool finish_status(node_state& node, pending_status& status, time_point now, node_output& out);

/// Answers a proof of departure after the store has kept it or failed to.
void finish_proof(const pending_status& status, const store_result& result, node_output& out);

} // namespace guavabay
