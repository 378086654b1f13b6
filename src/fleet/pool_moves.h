#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/time.h"
#include "worker/machine.h"

namespace guavabay {

/// Load of one machine, as the owner of its pool reports it.
struct machine_load {
    std::uint32_t m_runs = 0;        ///< Task runs on the machine.
    bool m_has_long_running = false; ///< At least one run is of a long-running task.
    milliseconds m_busy_time{0};     ///< Expected time until the other runs have ended.
};

/// Load of a pool, as its owner reports it.
struct pool_load {
    double m_needed_machines = 0; ///< Machines that the present and the expected work need.
    std::map<machine_id, machine_load> m_machines;
};

/// Phase of a move of a machine between pools.
enum class move_phase : std::uint8_t {
    draining, ///< The machine accepts no new work and its runs are ending.
    ordered,  ///< The order was sent and may be carried out; no answer is known yet.
    arriving, ///< The platform accepted the order; the machine joins its new pool.
};

/// A move of a machine that has started and not ended.
struct pending_move {
    service_id m_from;
    service_id m_to;
    move_phase m_phase = move_phase::draining;
    time_point m_since{};         ///< Start of the move; of its last phase once it is arriving.
    time_point m_next_order_at{}; ///< Earliest time at which an unanswered order is sent again.
};

/// Moves between pools as the machine controller in charge knows them.
struct move_state {
    std::map<machine_id, pending_move> m_moves;
    /// Machines of each pool when the first list was read.
    std::map<service_id, std::size_t> m_initial_sizes;
    std::map<service_id, time_point> m_surplus_since; ///< Start of the present surplus of a pool.
};

/// Removes moves whose machine has joined its new pool, is no longer listed or went down while
/// draining, and moves that have exceeded their time limit. The first call with a list also records
/// the initial pool sizes.
void update_moves(move_state& state, const std::vector<machine_listing>& listings, time_point now);

/// Starts moves to pools that need more machines than they have. Machines come first from a standby
/// pool, where they are idle at no cost, then from pools that need fewer than they have. A pool
/// that has had more machines than it needs and more than its initial size for some time returns
/// machines to the first of `standby_pools`. Machines in `in_wave` are not moved.
void choose_moves(move_state& state, const std::vector<machine_listing>& listings,
                  const std::map<service_id, pool_load>& loads,
                  const std::set<service_id>& standby_pools, const std::set<machine_id>& in_wave,
                  time_point now);

} // namespace guavabay
