#include "fleet/pool_moves.h"

#include <algorithm>
#include <cmath>

namespace guavabay {

namespace {

/// A machine of a pool with a surplus is drained for a move if its runs should end within this
/// time, and the move is cancelled when they have not ended within the second one.
constexpr milliseconds max_drain_time{2000};
constexpr milliseconds drain_timeout{3000};

/// A move whose machine is not up in its new pool this long after the order was accepted is given
/// up. A move without an answer is given up this long after its start.
constexpr seconds move_timeout{8};

/// A pool returns machines after a surplus of this length. Idling through a
/// shorter gap between two peaks costs less than two moves.
constexpr milliseconds surplus_hold_time{2000};

/// At most one machine in this many starts a move in one round, so that a wrong forecast costs
/// little. Small fleets may still start `min_move_limit` moves.
constexpr std::size_t move_limit_divisor = 3;
constexpr std::size_t min_move_limit = 8;

/// Machines that a donor keeps beyond what it needs.
constexpr double donor_reserve = 0.5;

/// Machines that one pool has, needs and can give away.
struct pool_balance {
    std::size_t m_machine_count = 0; ///< Machines that are up, and those moving to the pool.
    std::size_t m_assigned = 0;      ///< All of its machines, and those moving to the pool.
    std::size_t m_first_size = 0;    ///< Its machines when the controller began.
    double m_needed_machines = 0;
    bool m_load_known = false;
    bool m_standby = false;
    /// Machines without long-running tasks and the time until their runs end, shortest first.
    std::vector<std::pair<milliseconds, machine_id>> m_movable;
};

std::map<service_id, pool_balance> build_pool_balances(const move_state& state,
                                                       const std::vector<machine_listing>& listings,
                                                       const std::map<service_id, pool_load>& loads,
                                                       const std::set<service_id>& standby_pools,
                                                       const std::set<machine_id>& in_wave)
{
    std::map<service_id, pool_balance> pools;
    // A pool that has lent all of its machines is not in the list.
    for (const auto& [name, first_size] : state.m_initial_sizes) {
        pools[name].m_first_size = first_size;
    }
    for (const service_id& name : standby_pools) {
        pools[name].m_standby = true;
    }
    for (const machine_listing& listing : listings) {
        pool_balance& pool = pools[listing.m_pool];
        const auto moving = state.m_moves.find(listing.m_machine);
        if (moving != state.m_moves.end()) {
            continue;
        }
        ++pool.m_assigned;
        if (listing.m_state != machine_state::up || in_wave.contains(listing.m_machine)) {
            continue;
        }
        ++pool.m_machine_count;
        const auto load = loads.find(listing.m_pool);
        if (pool.m_standby) {
            pool.m_movable.emplace_back(milliseconds(0), listing.m_machine);
        }
        else if (load != loads.end()) {
            const auto machine = load->second.m_machines.find(listing.m_machine);
            if (machine != load->second.m_machines.end() && !machine->second.m_has_long_running) {
                pool.m_movable.emplace_back(machine->second.m_busy_time, listing.m_machine);
            }
        }
    }
    for (const auto& [machine, move] : state.m_moves) {
        ++pools[move.m_to].m_machine_count;
        ++pools[move.m_to].m_assigned;
    }
    for (auto& [name, pool] : pools) {
        const auto load = loads.find(name);
        pool.m_load_known = load != loads.end();
        pool.m_needed_machines = pool.m_load_known ? load->second.m_needed_machines
                                                   : static_cast<double>(pool.m_machine_count);
        std::sort(pool.m_movable.begin(), pool.m_movable.end());
    }
    return pools;
}

/// Starts the move of the donor's machine whose runs end first.
void start_move(move_state& state, std::map<service_id, pool_balance>& pools,
                const service_id& from, const service_id& to, time_point now)
{
    pool_balance& donor = pools[from];
    const machine_id machine = donor.m_movable.front().second;
    donor.m_movable.erase(donor.m_movable.begin());
    --donor.m_machine_count;
    --donor.m_assigned;
    ++pools[to].m_machine_count;
    ++pools[to].m_assigned;
    pending_move move;
    move.m_from = from;
    move.m_to = to;
    move.m_since = now;
    state.m_moves[machine] = move;
}

/// Returns the pool that gives a machine to the receiver: a standby pool, else the one with the
/// largest surplus; nothing when no pool can.
std::optional<service_id> choose_donor(const std::map<service_id, pool_balance>& pools,
                                       const service_id& receiver)
{
    std::optional<service_id> best;
    double best_surplus = 0;
    for (const auto& [name, pool] : pools) {
        if (name == receiver || pool.m_movable.empty()) {
            continue;
        }
        if (pool.m_standby) {
            return name;
        }
        const double surplus = static_cast<double>(pool.m_machine_count) -
                               std::ceil(pool.m_needed_machines + donor_reserve);
        if (pool.m_load_known && surplus >= 1 && surplus > best_surplus &&
            pool.m_movable.front().first <= max_drain_time) {
            best = name;
            best_surplus = surplus;
        }
    }
    return best;
}

/// Returns the pool that gets a surplus machine of another one: the one that is smallest relative
/// to its first size, else a standby pool; nothing when there is neither.
std::optional<service_id> choose_return(const std::map<service_id, pool_balance>& pools)
{
    std::optional<service_id> best;
    double best_share = 1;
    for (const auto& [name, pool] : pools) {
        if (pool.m_standby) {
            best = best ? best : name;
            continue;
        }
        const double share = static_cast<double>(pool.m_assigned) /
                             std::max(1.0, static_cast<double>(pool.m_first_size));
        if (pool.m_first_size > 0 && share < best_share) {
            best = name;
            best_share = share;
        }
    }
    return best;
}

} // namespace

void update_moves(move_state& state, const std::vector<machine_listing>& listings, time_point now)
{
    std::map<machine_id, const machine_listing*> listed;
    for (const machine_listing& listing : listings) {
        listed[listing.m_machine] = &listing;
    }
    if (state.m_initial_sizes.empty()) {
        for (const machine_listing& listing : listings) {
            ++state.m_initial_sizes[listing.m_pool];
        }
    }
    std::erase_if(state.m_moves, [&](const auto& entry) {
        const pending_move& move = entry.second;
        const auto found = listed.find(entry.first);
        if (found == listed.end()) {
            return true;
        }
        if (move.m_phase == move_phase::draining) {
            return now - move.m_since > drain_timeout ||
                   found->second->m_state != machine_state::up ||
                   found->second->m_pool != move.m_from;
        }
        const bool joined =
            found->second->m_pool == move.m_to && found->second->m_state == machine_state::up;
        return joined || now - move.m_since > move_timeout;
    });
}

void choose_moves(move_state& state, const std::vector<machine_listing>& listings,
                  const std::map<service_id, pool_load>& loads,
                  const std::set<service_id>& standby_pools, const std::set<machine_id>& in_wave,
                  time_point now)
{
    std::map<service_id, pool_balance> pools =
        build_pool_balances(state, listings, loads, standby_pools, in_wave);
    const std::size_t move_limit = std::max(min_move_limit, listings.size() / move_limit_divisor);
    std::size_t started = 0;
    while (started < move_limit) {
        // The pool with the largest shortage relative to its need receives the next machine.
        std::optional<service_id> receiver;
        double largest_shortage = 0;
        for (const auto& [name, pool] : pools) {
            const double shortage =
                std::ceil(pool.m_needed_machines) - static_cast<double>(pool.m_machine_count);
            const double share = shortage / std::max(1.0, pool.m_needed_machines);
            if (!pool.m_standby && pool.m_load_known && shortage > 0 && share > largest_shortage) {
                largest_shortage = share;
                receiver = name;
            }
        }
        const std::optional<service_id> donor =
            receiver ? choose_donor(pools, *receiver) : std::nullopt;
        if (!donor) {
            break;
        }
        start_move(state, pools, *donor, *receiver, now);
        ++started;
    }
    for (auto& [name, pool] : pools) {
        const auto has_surplus = [&donor = pool] {
            return donor.m_machine_count > donor.m_first_size &&
                   static_cast<double>(donor.m_machine_count) >
                       std::ceil(donor.m_needed_machines) + 1;
        };
        if (pool.m_standby || !pool.m_load_known || !has_surplus()) {
            state.m_surplus_since.erase(name);
            continue;
        }
        const time_point since = state.m_surplus_since.try_emplace(name, now).first->second;
        while (now - since > surplus_hold_time && started < move_limit && has_surplus() &&
               !pool.m_movable.empty() && pool.m_movable.front().first == milliseconds(0)) {
            const std::optional<service_id> target = choose_return(pools);
            if (!target) {
                break;
            }
            start_move(state, pools, name, *target, now);
            ++started;
        }
    }
}

} // namespace guavabay
