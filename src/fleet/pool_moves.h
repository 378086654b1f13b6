#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/time.h"
#include "worker/machine.h"

namespace guavabay {

/// What a pool's owner tells of one of its machines.
struct machine_load {
    std::uint32_t m_runs = 0;
    bool m_has_long_running = false; ///< A lasting task runs there.
};

/// What a pool's owner tells of its pool.
struct pool_load {
    double m_needed_machines = 0; ///< Machines that the work at hand and the work that comes need.
    std::map<machine_id, machine_load> m_machines;
};

/// Where a move stands.
enum class move_phase : std::uint8_t {
    draining, ///< The machine's work ends.
    ordered,  ///< The order was sent; it may be carried out.
    arriving, ///< The order was accepted; the machine joins its new pool.
};

/// A move under way.
struct pending_move {
    service_id m_from;
    service_id m_to;
    move_phase m_phase = move_phase::draining;
    time_point m_since{};
    time_point m_next_order_at{};
};

/// The holder's view of moves between pools.
struct move_state {
    std::map<machine_id, pending_move> m_moves;
    std::map<service_id, std::size_t> m_initial_sizes; ///< Machines that a pool had at first.
    std::map<service_id, time_point> m_surplus_since; ///< Since when a pool has more than it needs.
};

/// Notices which machines have joined their pools, and gives up moves that do not get ahead.
void update_moves(move_state& state, const std::vector<machine_listing>& listings, time_point now);

/// Chooses machines for pools that need more than they have: first from the standby pool, which
/// costs nothing there, then from pools that need less. A pool that has had more than it needs and
/// more than its home size for a while gives machines to the standby pool. Machines that a wave
/// holds are left out.
void choose_moves(move_state& state, const std::vector<machine_listing>& listings,
                  const std::map<service_id, pool_load>& loads,
                  const std::set<service_id>& standby_pools, const std::set<machine_id>& in_wave,
                  time_point now);

} // namespace guavabay
