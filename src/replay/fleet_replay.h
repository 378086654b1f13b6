#pragma once

#include "replay/trace.h"

namespace guavabay {

/// Replays pools, budgets, demand, failures and a wave through the decisions of the fleet.
std::optional<measures> replay_fleet(const trace& recorded);

} // namespace guavabay
