#include "fleet/upkeep_plan.h"

#include <algorithm>

namespace guavabay {

namespace {

/// A machine that is missing from the list for longer than this has left the fleet.
constexpr milliseconds missing_timeout{3000};

/// For each this many machines that may be away at a time, one more is drained ahead of its turn.
constexpr std::uint32_t drain_ahead_divisor = 2;

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

bool runs_long_running_tasks(const std::map<service_id, pool_load>& loads,
                             const machine_listing& listing)
{
    const auto pool = loads.find(listing.m_pool);
    if (pool == loads.end()) {
        return false;
    }
    const auto machine = pool->second.m_machines.find(listing.m_machine);
    return machine != pool->second.m_machines.end() && machine->second.m_has_long_running;
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
        if (machine.m_phase == upkeep_phase::done) {
            continue;
        }
        const auto found = listed.find(id);
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
        if (listing.m_state == machine_state::upkeep) {
            // Without an order from this controller, a former one ordered the machine. The order is
            // sent again later, and the platform answers that it is done.
            machine.m_order_accepted =
                machine.m_order_accepted || machine.m_phase == upkeep_phase::ordered;
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

std::map<service_id, std::vector<machine_id>>
select_machines_to_drain(upkeep_progress& wave, const std::vector<machine_listing>& listings,
                         const std::map<service_id, pool_load>& loads, time_point now)
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
    const std::uint32_t max_concurrent = wave.m_wave.m_max_concurrent;
    const std::size_t limit =
        max_concurrent + std::max<std::uint32_t>(1, max_concurrent / drain_ahead_divisor);
    for (const machine_listing& listing : listings) {
        const auto found = wave.m_machines.find(listing.m_machine);
        if (found != wave.m_machines.end() && found->second.m_possibly_ordered &&
            found->second.m_phase == upkeep_phase::waiting) {
            set_phase(found->second, upkeep_phase::draining, now);
            drained[listing.m_pool].push_back(listing.m_machine);
            ++under_way;
        }
    }
    while (under_way < limit) {
        // Prefers a machine without long-running tasks, then the pool with the smallest drained
        // share. A machine with such tasks is drained only when no other remains and no machine is
        // under way.
        const machine_listing* best = nullptr;
        std::pair<bool, double> best_rank;
        for (const machine_listing& listing : listings) {
            const auto found = wave.m_machines.find(listing.m_machine);
            if (found == wave.m_machines.end() || found->second.m_phase != upkeep_phase::waiting ||
                listing.m_state != machine_state::up) {
                continue;
            }
            const double share = static_cast<double>(drained[listing.m_pool].size()) /
                                 static_cast<double>(sizes[listing.m_pool]);
            const std::pair rank(runs_long_running_tasks(loads, listing), share);
            if (best == nullptr || rank < best_rank) {
                best = &listing;
                best_rank = rank;
            }
        }
        if (best == nullptr || (best_rank.first && under_way > 0)) {
            break;
        }
        set_phase(wave.m_machines[best->m_machine], upkeep_phase::draining, now);
        drained[best->m_pool].push_back(best->m_machine);
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
    const auto rounds =
        static_cast<double>(count_remaining(wave)) /
        static_cast<double>(std::max<std::uint32_t>(1, wave.m_wave.m_max_concurrent));
    const double needed = rounds * static_cast<double>((upkeep_time + typical_drain_time).count());
    const double time_left = to_milliseconds(wave.m_first_seen_at + wave.m_wave.m_duration - now);
    return needed > max_time_share * time_left;
}

} // namespace guavabay
