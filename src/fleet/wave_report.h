#pragma once

#include <string>
#include <vector>

#include "fleet/upkeep_plan.h"

namespace guavabay {

/// What the machine controller knows about machines beside the phases of a wave.
struct fleet_view {
    const std::vector<machine_listing>& m_listings;
    const std::map<service_id, pool_load>& m_loads;
    const std::set<machine_id>& m_empty_machines;
    const std::map<machine_id, pending_move>& m_moves;
};

/// Texts to log about a wave that is not complete: its progress at intervals and, shortly before
/// its deadline and when it has passed, why each machine that has not begun its upkeep waits. A
/// text names at most a fixed number of machines; the rest is counted.
std::vector<std::string> report_wave(upkeep_progress& wave, const fleet_view& fleet,
                                     time_point now);

} // namespace guavabay
