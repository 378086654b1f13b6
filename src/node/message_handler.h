#pragma once

#include "node/step_context.h"

namespace guavabay {

/// Handles one message of the inner protocol.
void handle_message(const step_context& context, const host_id& from, const peer_message& message);

} // namespace guavabay
