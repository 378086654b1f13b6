#include "fleet/upkeep_plan.h"

#include <algorithm>

namespace guavabay {

namespace {

/// A machine that is missing from the list for this long has left.
constexpr milliseconds leave_time{3000};

/// Machines that are drained ahead of those that are away, per machine that may be away.
constexpr std::uint32_t ahead_divisor = 2;

/// Share of the time left that the machines left may need before work is stopped for them.
constexpr double urgent_share = 0.6;

/// Typical time until the work of a machine has ended.
constexpr milliseconds drain_time{1500};

std::uint32_t away_count(const upkeep_progress& wave)
{
    return static_cast<std::uint32_t>(
        std::count_if(wave.m_machines.begin(), wave.m_machines.end(), [](const auto& entry) {
            return entry.second.m_maybe_away || entry.second.m_phase == upkeep_phase::ordered ||
                   entry.second.m_phase == upkeep_phase::away;
        }));
}

std::size_t waiting_count(const upkeep_progress& wave)
{
    return static_cast<std::size_t>(
        std::count_if(wave.m_machines.begin(), wave.m_machines.end(), [](const auto& entry) {
            return entry.second.m_phase == upkeep_phase::waiting ||
                   entry.second.m_phase == upkeep_phase::draining;
        }));
}

bool runs_lasting_tasks(const std::map<service_id, pool_load>& loads,
                        const machine_listing& listing)
{
    const auto pool = loads.find(listing.m_pool);
    if (pool == loads.end()) {
        return false;
    }
    const auto machine = pool->second.m_machines.find(listing.m_machine);
    return machine != pool->second.m_machines.end() && machine->second.m_lasting;
}

void set_phase(upkeep_machine& machine, upkeep_phase phase, time_point now)
{
    if (machine.m_phase != phase) {
        machine.m_phase = phase;
        machine.m_since = now;
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
            if (now - machine.m_missing_since > leave_time) {
                set_phase(machine, upkeep_phase::done, now);
            }
            continue;
        }
        machine.m_missing_since = {};
        const machine_listing& listing = *found->second;
        if (listing.m_state == machine_state::upkeep) {
            // One that was not ordered here was ordered by a former holder; its order is given
            // again later, which the platform answers as done.
            machine.m_begun = machine.m_begun || machine.m_phase == upkeep_phase::ordered;
            set_phase(machine, upkeep_phase::away, now);
        }
        else if (machine.m_phase == upkeep_phase::away && listing.m_state == machine_state::up &&
                 now - machine.m_since >= upkeep_time) {
            machine.m_maybe_away = machine.m_maybe_away && !machine.m_begun;
            set_phase(machine, machine.m_begun ? upkeep_phase::done : upkeep_phase::waiting, now);
        }
    }
}

std::map<service_id, std::vector<machine_id>>
machines_to_drain(upkeep_progress& wave, const std::vector<machine_listing>& listings,
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
    const std::uint32_t most = wave.m_wave.m_max_concurrent;
    const std::size_t limit = most + std::max<std::uint32_t>(1, most / ahead_divisor);
    for (const machine_listing& listing : listings) {
        const auto found = wave.m_machines.find(listing.m_machine);
        if (found != wave.m_machines.end() && found->second.m_maybe_away &&
            found->second.m_phase == upkeep_phase::waiting) {
            set_phase(found->second, upkeep_phase::draining, now);
            drained[listing.m_pool].push_back(listing.m_machine);
            ++under_way;
        }
    }
    while (under_way < limit) {
        // The next machine comes from the pool of which the smallest share is drained. One with
        // lasting tasks serves on until these have left, unless all that are left have some.
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
            const std::pair rank(runs_lasting_tasks(loads, listing), share);
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

std::vector<machine_id> machines_to_order(const upkeep_progress& wave,
                                          const std::set<machine_id>& clear, time_point now)
{
    std::vector<machine_id> orders;
    std::uint32_t away = away_count(wave);
    for (const auto& [id, machine] : wave.m_machines) {
        const bool again = machine.m_phase == upkeep_phase::ordered && !machine.m_begun &&
                           machine.m_next_order <= now;
        const bool fresh = machine.m_phase == upkeep_phase::draining && clear.contains(id) &&
                           machine.m_next_order <= now &&
                           (machine.m_maybe_away || away < wave.m_wave.m_max_concurrent);
        if (again || fresh) {
            orders.push_back(id);
            away += fresh && !machine.m_maybe_away ? 1 : 0;
        }
    }
    return orders;
}

bool is_complete(const upkeep_progress& wave)
{
    return std::all_of(wave.m_machines.begin(), wave.m_machines.end(), [](const auto& entry) {
        return entry.second.m_begun || entry.second.m_phase == upkeep_phase::done;
    });
}

bool is_urgent(const upkeep_progress& wave, milliseconds upkeep_time, time_point now)
{
    const auto rounds =
        static_cast<double>(waiting_count(wave)) /
        static_cast<double>(std::max<std::uint32_t>(1, wave.m_wave.m_max_concurrent));
    const double needed = rounds * static_cast<double>((upkeep_time + drain_time).count());
    const double left = to_milliseconds(wave.m_seen_at + wave.m_wave.m_duration - now);
    return needed > urgent_share * left;
}

} // namespace guavabay
