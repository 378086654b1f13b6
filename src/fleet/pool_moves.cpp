#include "fleet/pool_moves.h"

#include <algorithm>
#include <cmath>

namespace guavabay {

namespace {

/// A machine whose work does not end within this time is left where it is.
constexpr milliseconds drain_patience{1200};

/// A move is over when its machine is up in the new pool, and given up after this time.
constexpr seconds move_patience{8};

/// A pool gives machines away after it has needed fewer for this long; a shorter pause between
/// two needs costs less than two moves.
constexpr milliseconds surplus_time{2000};

/// Share of all machines whose moves are begun at a time, so that a wrong forecast costs little.
constexpr std::size_t most_at_once_divisor = 3;
constexpr std::size_t least_at_once = 8;

/// Machines that a pool keeps beyond what it needs when others ask for them.
constexpr double kept_reserve = 0.5;

/// What one pool has, needs and can give.
struct pool_view {
    std::size_t m_has = 0; ///< Up, and on their way to it.
    double m_needed = 0;
    bool m_known = false;
    bool m_standby = false;
    std::vector<std::pair<std::uint32_t, machine_id>> m_free; ///< Without lasting tasks, by runs.
};

std::map<service_id, pool_view> view_pools(const move_state& state,
                                           const std::vector<machine_listing>& listings,
                                           const std::map<service_id, pool_load>& loads,
                                           const std::set<service_id>& standby_pools,
                                           const std::set<machine_id>& in_wave)
{
    std::map<service_id, pool_view> pools;
    for (const machine_listing& listing : listings) {
        pool_view& pool = pools[listing.m_pool];
        pool.m_standby = standby_pools.contains(listing.m_pool);
        const auto moving = state.m_moves.find(listing.m_machine);
        if (moving != state.m_moves.end()) {
            continue;
        }
        if (listing.m_state != machine_state::up || in_wave.contains(listing.m_machine)) {
            continue;
        }
        ++pool.m_has;
        const auto load = loads.find(listing.m_pool);
        if (pool.m_standby) {
            pool.m_free.emplace_back(0, listing.m_machine);
        }
        else if (load != loads.end()) {
            const auto machine = load->second.m_machines.find(listing.m_machine);
            if (machine != load->second.m_machines.end() && !machine->second.m_lasting) {
                pool.m_free.emplace_back(machine->second.m_runs, listing.m_machine);
            }
        }
    }
    for (const auto& [machine, move] : state.m_moves) {
        ++pools[move.m_to].m_has;
    }
    for (auto& [name, pool] : pools) {
        const auto load = loads.find(name);
        pool.m_known = load != loads.end();
        pool.m_needed = pool.m_known ? load->second.m_needed : static_cast<double>(pool.m_has);
        std::sort(pool.m_free.begin(), pool.m_free.end());
    }
    return pools;
}

/// Takes the freest machine of a pool for a move.
void begin_move(move_state& state, std::map<service_id, pool_view>& pools, const service_id& from,
                const service_id& to, time_point now)
{
    pool_view& donor = pools[from];
    const machine_id machine = donor.m_free.front().second;
    donor.m_free.erase(donor.m_free.begin());
    --donor.m_has;
    ++pools[to].m_has;
    pending_move move;
    move.m_from = from;
    move.m_to = to;
    move.m_since = now;
    state.m_moves[machine] = move;
}

/// The pool that can best give a machine to another; empty for none.
std::optional<service_id> choose_donor(const std::map<service_id, pool_view>& pools,
                                       const service_id& receiver)
{
    std::optional<service_id> best;
    double best_surplus = 0;
    for (const auto& [name, pool] : pools) {
        if (name == receiver || pool.m_free.empty()) {
            continue;
        }
        if (pool.m_standby) {
            return name;
        }
        const double surplus =
            static_cast<double>(pool.m_has) - std::ceil(pool.m_needed + kept_reserve);
        // A machine with work on it is not given away.
        if (pool.m_known && surplus >= 1 && surplus > best_surplus &&
            pool.m_free.front().first == 0) {
            best = name;
            best_surplus = surplus;
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
    if (state.m_home_sizes.empty()) {
        for (const machine_listing& listing : listings) {
            ++state.m_home_sizes[listing.m_pool];
        }
    }
    std::erase_if(state.m_moves, [&](const auto& entry) {
        const pending_move& move = entry.second;
        const auto found = listed.find(entry.first);
        if (found == listed.end()) {
            return true;
        }
        if (move.m_phase == move_phase::draining) {
            return now - move.m_since > drain_patience ||
                   found->second->m_state != machine_state::up;
        }
        const bool joined =
            found->second->m_pool == move.m_to && found->second->m_state == machine_state::up;
        return joined || now - move.m_since > move_patience;
    });
}

void choose_moves(move_state& state, const std::vector<machine_listing>& listings,
                  const std::map<service_id, pool_load>& loads,
                  const std::set<service_id>& standby_pools, const std::set<machine_id>& in_wave,
                  time_point now)
{
    std::map<service_id, pool_view> pools =
        view_pools(state, listings, loads, standby_pools, in_wave);
    const std::size_t most_at_once =
        std::max(least_at_once, listings.size() / most_at_once_divisor);
    std::size_t begun = 0;
    while (begun < most_at_once) {
        // The pool that lacks the largest share of what it needs is served first.
        std::optional<service_id> receiver;
        double most = 0;
        for (const auto& [name, pool] : pools) {
            const double lack = std::ceil(pool.m_needed) - static_cast<double>(pool.m_has);
            const double share = lack / std::max(1.0, pool.m_needed);
            if (!pool.m_standby && pool.m_known && lack > 0 && share > most) {
                most = share;
                receiver = name;
            }
        }
        const std::optional<service_id> donor =
            receiver ? choose_donor(pools, *receiver) : std::nullopt;
        if (!donor) {
            break;
        }
        begin_move(state, pools, *donor, *receiver, now);
        ++begun;
    }
    for (auto& [name, pool] : pools) {
        const std::size_t home = state.m_home_sizes[name];
        const bool surplus = !pool.m_standby && pool.m_known && pool.m_has > home &&
                             static_cast<double>(pool.m_has) > std::ceil(pool.m_needed) + 1;
        if (!surplus || standby_pools.empty()) {
            state.m_surplus_since.erase(name);
            continue;
        }
        const time_point since = state.m_surplus_since.try_emplace(name, now).first->second;
        while (now - since > surplus_time && begun < most_at_once && pool.m_has > home &&
               static_cast<double>(pool.m_has) > std::ceil(pool.m_needed) + 1 &&
               !pool.m_free.empty() && pool.m_free.front().first == 0) {
            begin_move(state, pools, name, *standby_pools.begin(), now);
            ++begun;
        }
    }
}

} // namespace guavabay
