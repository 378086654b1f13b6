#pragma once

#include <map>
#include <set>
#include <vector>

#include "core/time.h"
#include "fleet/pool_moves.h"
#include "worker/machine.h"

namespace guavabay {

/// Where the upkeep of one machine stands.
enum class upkeep_phase : std::uint8_t {
    waiting,  ///< Its work goes on.
    draining, ///< Its work is being moved away.
    ordered,  ///< The order was sent; it may be carried out.
    away,     ///< It is down for its upkeep.
    done,     ///< It has begun its upkeep and is back, or it has left for good.
};

/// One machine of a wave.
struct upkeep_machine {
    upkeep_phase m_phase = upkeep_phase::waiting;
    time_point m_phase_since{};
    bool m_order_accepted = false;   ///< The platform accepted the order.
    bool m_possibly_ordered = false; ///< A former holder may have ordered it.
    time_point m_next_order_at{};    ///< When the order is sent again.
    time_point m_missing_since{}; ///< Since when the list does not show it.
    std::uint32_t m_refusals = 0;
    bool m_delay_logged = false; ///< That its work does not end was logged.
};

/// The holder's view of one wave.
struct upkeep_progress {
    upkeep_wave m_wave;
    time_point m_first_seen_at{};
    bool m_succeeded = false;
    bool m_status_written = false;
    std::map<machine_id, upkeep_machine> m_machines;
};

/// Takes the list of machines: notices which are down and which are back.
void update_wave(upkeep_progress& wave, const std::vector<machine_listing>& listings,
                 milliseconds upkeep_time, time_point now);

/// Chooses machines to drain, and gives all that are to be kept free of work, by pool. Machines
/// without lasting tasks, as the pools tell, go first: the others are emptied meanwhile.
std::map<service_id, std::vector<machine_id>>
select_machines_to_drain(upkeep_progress& wave, const std::vector<machine_listing>& listings,
                         const std::map<service_id, pool_load>& loads, time_point now);

/// Machines that are empty_machines of work and may be ordered down without too many being away.
std::vector<machine_id> select_machines_to_order(const upkeep_progress& wave,
                                                 const std::set<machine_id>& empty_machines,
                                                 time_point now);

/// True when every machine that stays has begun its upkeep.
bool is_complete(const upkeep_progress& wave);

/// True when the time left is short for the machines left.
bool is_deadline_at_risk(const upkeep_progress& wave, milliseconds upkeep_time, time_point now);

} // namespace guavabay
