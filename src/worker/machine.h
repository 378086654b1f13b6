#pragma once

#include <cstdint>
#include <vector>

#include "core/time.h"
#include "worker/worker.h"

namespace guavabay {

/// A set of machines whose upkeep is to be carried out within a given time.
struct upkeep_wave {
    std::int64_t m_number = 0;
    std::vector<machine_id> m_machines;
    milliseconds m_duration{0};         ///< Time within which the wave is to be finished.
    std::uint32_t m_max_concurrent = 1; ///< Machines that may be down for upkeep at the same time.
};

/// State of a machine as reported by the machine interface: in service, being moved to another
/// pool, down for upkeep, or down.
enum class machine_state : std::uint8_t { up, moving, upkeep, down };

/// One machine of a pool as reported by the machine interface.
struct machine_listing {
    machine_id m_machine;
    service_id m_pool;
    machine_state m_state = machine_state::down;
    zone_id m_zone;
    std::string m_kind; ///< First label of the machine.
    rack_id m_rack;     ///< Last label of the machine.
    resources m_capacity;
    worker_id m_worker; ///< The worker that runs on the machine; empty if there is none.
};

} // namespace guavabay
