#pragma once

#include "replay/trace.h"

namespace guavabay {

/// Replays requests against endpoints under each way of sharing slots that the trace names:
/// ideal (one queue without delay), owner (one queue behind a network), fifo (one queue in order
/// of arrival), credits (slots lent to entry hosts) and independent (each entry host alone).
std::optional<measures> replay_slots(const trace& recorded);

} // namespace guavabay
