#pragma once

#include <cstdint>
#include <vector>

#include "core/time.h"
#include "worker/worker.h"

namespace guavabay {

/// Machines that are due for upkeep within a time.
struct upkeep_wave {
    std::int64_t m_number = 0;
    std::vector<machine_id> m_machines;
    milliseconds m_duration{0};
    std::uint32_t m_max_concurrent = 1;
};

/// What the machines' interface says of a machine.
enum class machine_state : std::uint8_t { up, moving, upkeep, down };

/// One machine of a pool.
struct machine_listing {
    machine_id m_machine;
    service_id m_pool;
    machine_state m_state = machine_state::down;
    zone_id m_zone;
    std::string m_kind;
    rack_id m_rack;
    resources m_capacity;
    worker_id m_worker; ///< Its worker; empty while it has none.
};

} // namespace guavabay
