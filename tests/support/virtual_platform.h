#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "fleet/wave_plan.h"
#include "support/virtual_hosts.h"

namespace guavabay::test {

/// Simulates the platform's side of the fleet on the fake store: drains and reboots hosts as their
/// records request, writes delayed host reports, and checks the pool budgets at every time step.
class virtual_platform {
public:
    /// Uses the store and the clock of the given hosts.
    explicit virtual_platform(virtual_hosts& hosts) : m_hosts(hosts) {}

    /// Adds hosts to a pool, four per rack, with the racks spread over three zones.
    void add_pool(const std::string& pool, std::uint32_t hosts);

    /// Advances the time in steps of 100 ms and updates all hosts after each step.
    void run_for(duration length);

    /// Advances the time until a wave is done. Returns the time it took, or zero if it is not done
    /// within the limit.
    duration run_wave(wave_number number, duration limit);

    /// Returns the actual state of the fleet: host records from the store, and the simulated state
    /// of each host in place of its possibly outdated report.
    [[nodiscard]] fleet_view actual_fleet() const;

    /// Takes down all hosts of a rack at the same time.
    void fail_rack(const std::string& zone, const std::string& rack);

    std::map<pool_id, pool_budget> m_budgets;    ///< Budgets that are checked at every time step.
    std::set<std::string> m_unrecoverable_hosts; ///< Hosts that do not come back after a reboot.
    duration m_drain_time = seconds(2);
    duration m_reboot_time = seconds(5);
    std::uint64_t m_budget_violations = 0; ///< Time steps at which a budget was violated.
    std::map<std::string, int> m_reboots;  ///< Number of reboots of each host.
    std::uint64_t m_pool_changes = 0;
    std::function<bool(const std::string&)> m_is_busy; ///< Returns whether a host still has tasks.
    std::uint64_t m_reboots_with_tasks = 0;            ///< Reboots of hosts that still had tasks.

private:
    struct machine {
        bool m_up = true;
        wave_number m_maintained;
        time_point m_state_since{};
        host_state m_seen_state = host_state::serving;
        std::string m_pool;
    };

    void advance_hosts();
    void advance_host(const std::string& name, machine& simulated);

    virtual_hosts& m_hosts;
    std::map<std::string, machine> m_machines;
    std::uint32_t m_next_rack = 1;
};

} // namespace guavabay::test
