#include "fleet/upkeep_plan.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace guavabay {

namespace {

/// A machine that is missing from the list for longer than this has left the fleet.
constexpr milliseconds missing_timeout{3000};

/// For each this many machines that may be away at a time, one more is drained ahead of its turn.
constexpr std::uint32_t drain_ahead_divisor = 2;

/// Share of the machines beyond what their pools need that a wave may occupy. The rest can be lent
/// to the next pool that needs more machines.
constexpr double idle_share = 0.5;

/// A wave occupies at least this many machines, as far as its limit allows.
constexpr std::size_t min_under_way = 4;

/// The deadline is at risk when the remaining machines need more than this share of the remaining
/// time. Work is then stopped to empty them.
constexpr double max_time_share = 0.6;

/// Typical time that a machine takes to drain.
constexpr milliseconds typical_drain_time{1500};

std::uint32_t count_away(const upkeep_progress& wave)
{
    return static_cast<std::uint32_t>(
        std::count_if(wave.m_machines.begin(), wave.m_machines.end(), [](const auto& entry) {
            return entry.second.m_possibly_ordered ||
                   entry.second.m_phase == upkeep_phase::ordered ||
                   entry.second.m_phase == upkeep_phase::away;
        }));
}

std::size_t count_remaining(const upkeep_progress& wave)
{
    return static_cast<std::size_t>(
        std::count_if(wave.m_machines.begin(), wave.m_machines.end(), [](const auto& entry) {
            return entry.second.m_phase == upkeep_phase::waiting ||
                   entry.second.m_phase == upkeep_phase::draining;
        }));
}

/// A waiting machine of a wave; a lower rank is drained first.
struct waiting_machine {
    machine_id m_machine;
    bool m_has_long_running = false;
    std::uint32_t m_runs = 0;

    [[nodiscard]] auto rank() const { return std::tuple(m_has_long_running, m_runs); }
};

/// One pool's part in a wave.
struct pool_in_wave {
    double m_spare = 0; ///< Machines that are up beyond what the pool needs; 0 if unknown.
    std::vector<waiting_machine> m_waiting; ///< In the order in which they are drained.
    std::size_t m_next = 0;                 ///< Position among these.
};

std::map<service_id, pool_in_wave>
find_waiting_machines(const upkeep_progress& wave, const std::vector<machine_listing>& listings,
                      const std::map<service_id, pool_load>& loads)
{
    std::map<service_id, pool_in_wave> pools;
    for (const machine_listing& listing : listings) {
        pool_in_wave& pool = pools[listing.m_pool];
        if (listing.m_state != machine_state::up) {
            continue;
        }
        pool.m_spare += 1;
        const auto found = wave.m_machines.find(listing.m_machine);
        if (found == wave.m_machines.end() || found->second.m_phase != upkeep_phase::waiting) {
            continue;
        }
        waiting_machine waiting{listing.m_machine};
        const auto load = loads.find(listing.m_pool);
        if (load != loads.end()) {
            const auto machine = load->second.m_machines.find(listing.m_machine);
            if (machine != load->second.m_machines.end()) {
                waiting.m_has_long_running = machine->second.m_has_long_running;
                waiting.m_runs = machine->second.m_runs;
            }
        }
        pool.m_waiting.push_back(waiting);
    }
    for (auto& [name, pool] : pools) {
        const auto load = loads.find(name);
        pool.m_spare = load == loads.end() ? 0 : pool.m_spare - load->second.m_needed_machines;
        std::stable_sort(pool.m_waiting.begin(), pool.m_waiting.end(),
                         [](const waiting_machine& left, const waiting_machine& right) {
                             return left.rank() < right.rank();
                         });
    }
    return pools;
}

/// Limits on the machines that a wave may drain or have away at a time.
struct under_way_limits {
    std::size_t m_required = 0; ///< As many as the deadline requires.
    std::size_t m_allowed = 0;  ///< The same, or more while machines are idle.
};

under_way_limits limit_under_way(const upkeep_progress& wave,
                                 const std::map<service_id, pool_in_wave>& pools,
                                 milliseconds upkeep_time, time_point now)
{
    const std::uint32_t max_concurrent = wave.m_wave.m_max_concurrent;
    const std::size_t most =
        max_concurrent + std::max<std::uint32_t>(1, max_concurrent / drain_ahead_divisor);
    const double machine_ms = static_cast<double>(count_remaining(wave)) *
                              static_cast<double>((upkeep_time + typical_drain_time).count());
    const double time_left_ms = std::max(
        1.0, max_time_share * to_milliseconds(wave.m_first_seen_at + wave.m_wave.m_duration - now));
    double idle = 0;
    for (const auto& [name, pool] : pools) {
        idle += std::max(0.0, pool.m_spare);
    }
    const auto limited = [most](double machines) {
        return static_cast<std::size_t>(std::min(std::ceil(machines), static_cast<double>(most)));
    };
    under_way_limits limits;
    limits.m_required = limited(machine_ms / time_left_ms);
    limits.m_allowed =
        std::min(std::max({min_under_way, limits.m_required, limited(idle * idle_share)}), most);
    return limits;
}

void set_phase(upkeep_machine& machine, upkeep_phase phase, time_point now)
{
    if (machine.m_phase != phase) {
        machine.m_phase = phase;
        machine.m_phase_since = now;
    }
}

} // namespace

void update_wave(upkeep_progress& wave, const std::vector<machine_listing>& listings,
                 milliseconds upkeep_time, time_point now)
{
    std::map<machine_id, const machine_listing*> listed;
    for (const machine_listing& listing : listings) {
        listed[listing.m_machine] = &listing;
    }
    for (auto& [id, machine] : wave.m_machines) {
        const auto found = listed.find(id);
        const bool is_back =
            found != listed.end() && machine.m_missing_since != time_point{} && !wave.m_succeeded;
        if (machine.m_phase == upkeep_phase::done && is_back && !machine.m_order_accepted) {
            // The machine was taken for one that had left the fleet.
            set_phase(machine, upkeep_phase::waiting, now);
        }
        if (machine.m_phase == upkeep_phase::done) {
            continue;
        }
        if (found == listed.end()) {
            if (machine.m_missing_since == time_point{}) {
                machine.m_missing_since = now;
            }
            if (now - machine.m_missing_since > missing_timeout) {
                set_phase(machine, upkeep_phase::done, now);
            }
            continue;
        }
        machine.m_missing_since = {};
        const machine_listing& listing = *found->second;
        machine.m_down = listing.m_state == machine_state::upkeep;
        if (machine.m_down && !machine.m_order_accepted &&
            (machine.m_phase == upkeep_phase::ordered ||
             (machine.m_possibly_ordered && machine.m_phase != upkeep_phase::away))) {
            // An order of this or a former controller may be the cause, or another wave. The answer
            // to a further order tells.
            machine.m_unanswered = true;
            set_phase(machine, upkeep_phase::ordered, now);
        }
        else if (machine.m_down) {
            set_phase(machine, upkeep_phase::away, now);
        }
        else if (machine.m_phase == upkeep_phase::away && listing.m_state == machine_state::up &&
                 now - machine.m_phase_since >= upkeep_time) {
            machine.m_possibly_ordered = machine.m_possibly_ordered && !machine.m_order_accepted;
            set_phase(machine,
                      machine.m_order_accepted ? upkeep_phase::done : upkeep_phase::waiting, now);
        }
    }
}

void apply_upkeep_answer(upkeep_machine& machine, upkeep_answer answer, time_point retry_at,
                         time_point now)
{
    machine.m_next_order_at = retry_at;
    if (answer == upkeep_answer::accepted) {
        machine.m_order_accepted = true;
        machine.m_possibly_ordered = false;
        machine.m_unanswered = false;
        machine.m_phase = upkeep_phase::away;
        machine.m_phase_since = now;
        return;
    }
    if (machine.m_order_accepted) {
        // An answer to an earlier order that was overtaken.
        return;
    }
    switch (answer) {
    case upkeep_answer::accepted:
        return;
    case upkeep_answer::refused:
        set_phase(machine, upkeep_phase::done, now);
        return;
    case upkeep_answer::busy:
        // An order without an answer may still be carried out once the machine is up again.
        machine.m_possibly_ordered = machine.m_possibly_ordered || machine.m_unanswered;
        set_phase(machine, machine.m_down ? upkeep_phase::away : upkeep_phase::draining, now);
        return;
    case upkeep_answer::not_done:
        if (!machine.m_unanswered) {
            set_phase(machine, upkeep_phase::draining, now);
        }
        return;
    case upkeep_answer::unknown:
        machine.m_unanswered = true;
        return;
    }
}

std::map<service_id, std::vector<machine_id>>
select_machines_to_drain(upkeep_progress& wave, const std::vector<machine_listing>& listings,
                         const std::map<service_id, pool_load>& loads, milliseconds upkeep_time,
                         time_point now)
{
    std::map<service_id, std::vector<machine_id>> drained;
    std::map<service_id, std::size_t> sizes;
    std::size_t under_way = 0;
    for (const machine_listing& listing : listings) {
        ++sizes[listing.m_pool];
        drained.try_emplace(listing.m_pool);
        const auto found = wave.m_machines.find(listing.m_machine);
        if (found != wave.m_machines.end() && found->second.m_phase != upkeep_phase::waiting &&
            found->second.m_phase != upkeep_phase::done) {
            drained[listing.m_pool].push_back(listing.m_machine);
            ++under_way;
        }
    }
    for (const machine_listing& listing : listings) {
        const auto found = wave.m_machines.find(listing.m_machine);
        if (found != wave.m_machines.end() && found->second.m_possibly_ordered &&
            found->second.m_phase == upkeep_phase::waiting) {
            set_phase(found->second, upkeep_phase::draining, now);
            drained[listing.m_pool].push_back(listing.m_machine);
            ++under_way;
        }
    }
    std::map<service_id, pool_in_wave> pools = find_waiting_machines(wave, listings, loads);
    const under_way_limits limits = limit_under_way(wave, pools, upkeep_time, now);
    while (under_way < limits.m_allowed) {
        // Prefers a machine without long-running tasks, then a pool with machines to spare, then a
        // machine without runs, then the pool with the smallest drained share. A machine with
        // long-running tasks is drained only when no other remains, and only as far as the deadline
        // requires: its other runs end while the long-running tasks wait for their turn to leave.
        const service_id* best = nullptr;
        std::tuple<bool, bool, bool, double> best_rank;
        for (const auto& [name, pool] : pools) {
            if (pool.m_next == pool.m_waiting.size()) {
                continue;
            }
            const waiting_machine& first = pool.m_waiting[pool.m_next];
            const double share =
                static_cast<double>(drained[name].size()) / static_cast<double>(sizes[name]);
            const std::tuple rank(first.m_has_long_running, pool.m_spare<1, first.m_runs> 0, share);
            if (best == nullptr || rank < best_rank) {
                best = &name;
                best_rank = rank;
            }
        }
        if (best == nullptr ||
            (std::get<0>(best_rank) && under_way > 0 && under_way >= limits.m_required)) {
            break;
        }
        pool_in_wave& pool = pools[*best];
        const machine_id machine = pool.m_waiting[pool.m_next++].m_machine;
        pool.m_spare -= 1;
        set_phase(wave.m_machines[machine], upkeep_phase::draining, now);
        drained[*best].push_back(machine);
        ++under_way;
    }
    return drained;
}

std::vector<machine_id> select_machines_to_order(const upkeep_progress& wave,
                                                 const std::set<machine_id>& empty_machines,
                                                 time_point now)
{
    std::vector<machine_id> orders;
    std::uint32_t away = count_away(wave);
    for (const auto& [id, machine] : wave.m_machines) {
        const bool resend = machine.m_phase == upkeep_phase::ordered && !machine.m_order_accepted &&
                            machine.m_next_order_at <= now;
        const bool is_new = machine.m_phase == upkeep_phase::draining &&
                            empty_machines.contains(id) && machine.m_next_order_at <= now &&
                            (machine.m_possibly_ordered || away < wave.m_wave.m_max_concurrent);
        if (resend || is_new) {
            orders.push_back(id);
            away += is_new && !machine.m_possibly_ordered ? 1 : 0;
        }
    }
    return orders;
}

bool is_complete(const upkeep_progress& wave)
{
    return std::all_of(wave.m_machines.begin(), wave.m_machines.end(), [](const auto& entry) {
        return entry.second.m_order_accepted || entry.second.m_phase == upkeep_phase::done;
    });
}

bool is_deadline_at_risk(const upkeep_progress& wave, milliseconds upkeep_time, time_point now)
{
    const std::size_t remaining = count_remaining(wave);
    if (remaining == 0) {
        return false;
    }
    // Also the last machine needs the time of a whole round.
    const double rounds = std::max(
        1.0, static_cast<double>(remaining) /
                 static_cast<double>(std::max<std::uint32_t>(1, wave.m_wave.m_max_concurrent)));
    const double needed = rounds * static_cast<double>((upkeep_time + typical_drain_time).count());
    const double time_left = to_milliseconds(wave.m_first_seen_at + wave.m_wave.m_duration - now);
    return needed > max_time_share * time_left;
}

} // namespace guavabay
