#pragma once

#include "replay/trace.h"

namespace guavabay {

/// Replays tasks, workers, quotas, failures and cancellations through the placement of tasks.
std::optional<measures> replay_tasks(const trace& recorded);

} // namespace guavabay
